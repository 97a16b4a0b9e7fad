package process

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/papayahoist/papayahoist/node/lograte"
	"github.com/papayahoist/papayahoist/node/metrics"
)

// A burst of faults makes a process log thousands of lines at once. The first of them
// must be written, and the counters must show how many were suppressed.
func TestLogLinesAreLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	m := metrics.NewAgent(prometheus.NewRegistry(), metrics.Options{})
	log := newLogger(slog.New(slog.NewTextHandler(&out, nil)), "agent-1", m.Process)
	const storm = 10_000
	for range storm {
		log.Warn("link lost")
	}
	written, suppressed := testutil.ToFloat64(m.LogLines), testutil.ToFloat64(m.LogLinesSuppressed)
	if written < lograte.DefaultBurst || written+suppressed != storm || suppressed == 0 {
		t.Errorf("counted %v written and %v suppressed of %d", written, suppressed, storm)
	}
	if got := strings.Count(out.String(), "process=agent-1"); float64(got) != written {
		t.Errorf("%d lines name the process, want %v", got, written)
	}
}
