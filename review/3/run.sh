#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs target/papayahoistd and review/bin/sim (review/build.sh).
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/papayahoistd ]; then
  echo "target/ is not built; see deploy/system.toml" >&2
  exit 2
fi
[ -x review/bin/sim ] || review/build.sh || exit 2
exec review/bin/sim affinity review/3
