#!/usr/bin/env bash
# Sends a request that crashes each server that begins to run it, again and
# again. TROUBLE=0 sends the same requests to servers that do not crash.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
program=$PWD/target/rhubarbrack
[ -x "$program" ] && [ -x review/bin/stand ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
exec timeout --signal=TERM 115 review/bin/stand crashing-request "$program" "review/4/record.txt"
