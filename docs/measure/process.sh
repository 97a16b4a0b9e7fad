#!/usr/bin/env bash
# Prints what a process on this machine spends: docs/measure/process.sh PID SECONDS.
# Bytes are of TCP with 52 bytes of headers a segment, both directions, over the
# connections open at both readings. Needs Linux and ss.
set -euo pipefail
pid=$1 seconds=$2

cpu_ms() { awk -v tick="$(getconf CLK_TCK)" '{ sub(/.*\) /, ""); print ($12 + $13) * 1000 / tick }' "/proc/$pid/stat"; }

tcp_bytes() {
  { ss -tinp | grep -A1 "pid=$pid," || true; } |
    grep -oE '(bytes_sent|bytes_received|segs_out|segs_in):[0-9]+' |
    awk -F: '/bytes/ { n += $2 } /segs/ { n += 52 * $2 } END { print n + 0 }'
}

cpu=$(cpu_ms) bytes=$(tcp_bytes)
sleep "$seconds"
awk -v cpu="$(($(cpu_ms) - cpu))" -v bytes="$(($(tcp_bytes) - bytes))" -v s="$seconds" \
  -v rss="$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")" \
  'BEGIN { printf "processor %.3f%% of a core, resident %.1f MB, TCP %.0f bytes/s\n", cpu / s / 10, rss / 1024, bytes / s }'
