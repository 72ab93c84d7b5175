#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review/3.cjs"
[ -f "$program" ] && [ -f "$root/target/main.cjs" ] || { echo 'could not run: not built'; exit 2; }
exec node "$program" "$folder" "$root"
