#!/usr/bin/env bash
# Takes the power from a control host for 7 s while another one is replaced as
# planned, and 12 s after both two disks from other control hosts. TROUBLE=0 does
# none of this. Exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run.
cd "$(dirname "$0")/../.." || exit 2
program=$PWD/target/rhubarbrack
[ -x "$program" ] && [ -x review/bin/stand ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
exec timeout --signal=TERM 115 review/bin/stand removed-host "$program" "review/1/record.txt"
