#!/bin/sh
# Builds the stand-ins and the tests of the second review. Needs the modules that the build of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
for n in 4 5 6; do
  if [ -f "review/$n/case.ts" ]; then
    npm run --silent bundle -- "review/$n/case.ts" --outfile="target/review-2/$n.cjs"
  fi
done
