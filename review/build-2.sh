#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and up. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local CGO_ENABLED=0 go build -trimpath -o ../../target/review-stand .
