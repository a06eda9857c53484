#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases 6 to 10, without a network.
set -euo pipefail
cd "$(dirname "$0")/stand-2/platform"
mkdir -p bin
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o bin/ ./...
