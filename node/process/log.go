package process

import (
	"log/slog"

	"github.com/papayahoist/papayahoist/node/lograte"
	"github.com/papayahoist/papayahoist/node/metrics"
)

// newLogger bounds and counts the lines of a process, which each name it.
func newLogger(log *slog.Logger, process string, m *metrics.Process) *slog.Logger {
	handler := lograte.NewHandler(log.Handler(), lograte.Options{Written: m.LogLines, Suppressed: m.LogLinesSuppressed})
	return slog.New(handler).With("process", process)
}
