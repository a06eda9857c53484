#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS=-buildvcs=false GOWORK=off go build -o bin/stand ./platform
