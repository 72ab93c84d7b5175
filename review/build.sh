#!/usr/bin/env bash
# Builds the stand-ins of all cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/[0-9]/case.ts; do
  number=$(basename "$(dirname "$file")")
  npm run --silent bundle -- "$file" --outfile="target/review/$number.cjs"
done
