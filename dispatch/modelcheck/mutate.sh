#!/usr/bin/env bash
# Runs the schedules against each mutation in a check's mutations.txt and prints the first
# seed that detects it. Mutations are applied in an overlay: the sources stay unchanged.
# Usage: mutate.sh [schedules [modelcheck|leasedcheck]]
set -euo pipefail
cd "$(dirname "$0")/.."
schedules=${1:-20000}
check=${2:-modelcheck}
case $check in
modelcheck) flags="-run TestSchedules -schedules $schedules" ;;
leasedcheck) flags="-run TestPromises -leased.seeds $schedules" ;;
esac
work=$(mktemp -d); trap 'rm -rf "$work"' EXIT
grep -vE '^(#|$)' "$check/mutations.txt" | while IFS='|' read -r name file expression; do
  perl -0pe "$expression" "$file" >"$work/m.go"
  if cmp -s "$file" "$work/m.go"; then printf '%-45s does not apply\n' "$name"; continue; fi
  printf '{"Replace":{"%s":"%s"}}' "$PWD/$file" "$work/m.go" >"$work/overlay.json"
  out=$(go test -overlay "$work/overlay.json" "./$check" $flags 2>&1 || true)
  caught=$(grep -m1 -oE 'seed [0-9]+:? .*' <<<"$out" || grep -m1 -oE 'panic: .*|.*build failed.*' <<<"$out" || echo 'NOT CAUGHT')
  printf '%-45s %s\n' "$name" "${caught:0:150}"
done
