package decisionlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
)

func line(event string) Line {
	return Line{Event: event, Attrs: []slog.Attr{slog.String("job", "5c0e")}}
}

// Nobody reads the process's standard output, so its pipe is full. Deciding must go
// on, and when the reader is back, the log says how many lines are missing, and has
// kept refusals rather than plain successes.
func TestStalledWriterHoldsNobodyUp(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, slog.String("process", "entry-1"))
	for range 2 * ringSize {
		l.Add(line("task_ordered"), true)
	}
	for range ringSize / 8 {
		l.Add(line("job_answered"), false)
	}
	l.flush()
	text := out.String()
	if n := strings.Count(text, `"msg":"job_answered"`); n != ringSize/8 {
		t.Errorf("%d refusals in the log, want all %d", n, ringSize/8)
	}
	if !strings.Contains(text, `"msg":"lines_dropped"`) || !strings.Contains(text, `"process":"entry-1"`) {
		t.Errorf("no line about what was dropped, or none names the process: %.200s", text)
	}
}

func TestBlockedPipe(t *testing.T) {
	r, w := io.Pipe()
	l := New(w)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		l.Run(ctx)
		close(ended)
	}()
	for range 10 * ringSize {
		l.Add(line("job_answered"), false)
	}
	cancel()
	go func() { _, _ = io.Copy(io.Discard, r) }()
	<-ended
}

func BenchmarkLine(b *testing.B) {
	l := New(io.Discard)
	b.ReportAllocs()
	for i := range b.N {
		l.Add(line("task_ordered"), true)
		if i%1000 == 999 {
			l.flush()
		}
	}
}

// writes keeps each write by itself.
type writes struct{ all [][]byte }

func (w *writes) Write(b []byte) (int, error) {
	w.all = append(w.all, append([]byte(nil), b...))
	return len(b), nil
}

// A busy entry has a hundred lines to write at once. A collector that keeps the first
// few kilobytes of each write must not lose the rest, nor half a line: whoever looks
// for a failed request would find nothing of it.
func TestWritesAreShortAndEndWithALine(t *testing.T) {
	w := &writes{}
	l := New(w)
	for i := range 100 {
		l.Add(Line{Event: "run_ended", Attrs: []slog.Attr{slog.String("job", strings.Repeat("x", 100+i))}}, true)
	}
	l.flush()
	lines := 0
	for _, b := range w.all {
		if len(b) > 4096 || b[len(b)-1] != '\n' {
			t.Errorf("a write of %d bytes that ends with %q", len(b), b[len(b)-1])
		}
		lines += bytes.Count(b, []byte("\n"))
	}
	if lines != 100 {
		t.Errorf("%d lines, want 100", lines)
	}
}
