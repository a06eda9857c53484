#!/usr/bin/env bash
# Runs the case on loopback addresses. It exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out. What was
# sent, answered and run is written to record.txt in this folder.
set -u
cd "$(dirname "$0")" || exit 2
[ -x ../../target/rhubarbrack ] && [ -x ../stand-3/bin/stand3 ] || {
  echo "build the deploy file and review/build-3.sh first" >&2
  exit 2
}
exec ../stand-3/bin/stand3 cold-restart ../.. .
