package lograte

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

type count int

func (c *count) Inc() { *c++ }

func TestLineRateIsLimited(t *testing.T) {
	// A network switch fails, and each of 1,000 links flaps ten times a second for
	// a minute. Without a limit, the 600,000 lines would stall the log service.
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	var out bytes.Buffer
	var written, suppressed count
	log := slog.New(NewHandler(slog.NewTextHandler(&out, nil), Options{
		Written: &written, Suppressed: &suppressed, Now: func() time.Time { return now },
	}))
	links := log.With("component", "link").WithGroup("peer")
	const seconds, perSecond = 60, 10_000
	for range seconds * perSecond {
		now = now.Add(time.Second / perSecond)
		links.Warn("link lost", "name", "agent-1")
	}
	lines := strings.Count(out.String(), "\n")
	limit := DefaultBurst + DefaultLinesPerSecond*seconds + 1
	t.Logf("%d lines offered, %d written, %.1f a second", seconds*perSecond, lines, float64(lines)/seconds)
	if lines > limit {
		t.Errorf("%d lines, want at most %d", lines, limit)
	}
	if int(written) != lines || int(written+suppressed) != seconds*perSecond {
		t.Errorf("counted %d written and %d suppressed of %d", written, suppressed, seconds*perSecond)
	}
	if !strings.Contains(out.String(), "lines_suppressed=") {
		t.Error("no line reports the number of suppressed lines")
	}
}
