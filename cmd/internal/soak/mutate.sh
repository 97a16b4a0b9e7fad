#!/usr/bin/env bash
# Mutation test: runs soaks against builds of papayahoistd that each contain one fault
# from dispatch/leasedcheck/mutations.txt. The faults are applied in a build overlay;
# the sources are not changed. Prints, for each fault, the first seed that detects it
# and the promise that was broken. Usage:
# mutate.sh [seeds [size [duration [parallel runs]]]]
set -euo pipefail
cd "$(dirname "$0")/../../.."
seeds=${1:-6} size=${2:-small} duration=${3:-40s} parallel=${4:-6}
work=$(mktemp -d); trap 'rm -rf "$work"' EXIT
go build -o "$work/" ./cmd/papayahoist
grep -vE '^(#|$)' dispatch/leasedcheck/mutations.txt | while IFS='|' read -r name file expression; do
  perl -0pe "$expression" "dispatch/$file" >"$work/m.go"
  if cmp -s "dispatch/$file" "$work/m.go"; then printf '%-45s does not apply\n' "$name"; continue; fi
  printf '{"Replace":{"%s":"%s"}}' "$PWD/dispatch/$file" "$work/m.go" >"$work/overlay.json"
  if ! go build -overlay "$work/overlay.json" -o "$work/papayahoistd" ./cmd/papayahoistd 2>"$work/build"; then
    printf '%-45s does not build\n' "$name"; continue
  fi
  seq "$seeds" | xargs -P "$parallel" -I{} sh -c \
    "'$work/papayahoist' soak --seed {} --size $size --duration $duration >'$work/{}.out' 2>&1 || true"
  caught='not caught'
  for seed in $(seq "$seeds"); do
    if line=$(grep -m1 BROKEN "$work/$seed.out"); then caught="seed $seed: ${line#BROKEN }"; break; fi
  done
  printf '%-45s %s\n' "$name" "${caught:0:150}"
done
