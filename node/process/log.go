package process

import (
	"log/slog"

	"github.com/papayahoist/papayahoist/node/lograte"
	"github.com/papayahoist/papayahoist/node/metrics"
)

// newLogger returns a logger that limits the rate of a process's log lines, counts
// them in m, and adds the name of the process to each.
func newLogger(log *slog.Logger, process string, m *metrics.Process) *slog.Logger {
	handler := lograte.NewHandler(log.Handler(), lograte.Options{Written: m.LogLines, Suppressed: m.LogLinesSuppressed})
	return slog.New(handler).With("process", process)
}
