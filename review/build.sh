#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/sim"
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../bin/sim .
