#!/usr/bin/env bash
# Makes the generated code anew. Needs protoc, protoc-gen-go v1.36.12 and
# protoc-gen-connect-go v1.21.1; the build itself needs none of them.
set -eu
cd "$(dirname "$0")"
protoc -I proto \
  --go_out=. --go_opt=module=github.com/papayahoist/papayahoist/api \
  --connect-go_out=. --connect-go_opt=module=github.com/papayahoist/papayahoist/api \
  proto/papayahoist/v1/dispatch.proto proto/papayahoist/v1/work.proto
