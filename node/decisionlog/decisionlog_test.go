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

// Standard output is a full pipe that is not read. Add must not block. Once the reader
// is back, the log must report the number of dropped lines, and must have kept
// refusals rather than routine lines.
func TestStalledWriterDoesNotBlock(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, slog.String("process", "entry-1"))
	for range 2 * queueSize {
		l.Add(line("task_ordered"), true)
	}
	for range queueSize / 8 {
		l.Add(line("job_answered"), false)
	}
	l.flush()
	text := out.String()
	if n := strings.Count(text, `"msg":"job_answered"`); n != queueSize/8 {
		t.Errorf("%d refusals in the log, want %d", n, queueSize/8)
	}
	if !strings.Contains(text, `"msg":"lines_dropped"`) || !strings.Contains(text, `"process":"entry-1"`) {
		t.Errorf("no line reports dropped lines, or none names the process: %.200s", text)
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
	for range 10 * queueSize {
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

// writeRecorder records each write separately.
type writeRecorder struct{ writes [][]byte }

func (w *writeRecorder) Write(b []byte) (int, error) {
	w.writes = append(w.writes, append([]byte(nil), b...))
	return len(b), nil
}

// A busy entry writes a hundred lines at once, and the log collector keeps only the
// first few kilobytes of each write. No line may be lost or truncated, as the lines of
// a failed request could then not be found.
func TestWritesAreBoundedAndEndWithNewline(t *testing.T) {
	w := &writeRecorder{}
	l := New(w)
	for i := range 100 {
		l.Add(Line{Event: "run_ended", Attrs: []slog.Attr{slog.String("job", strings.Repeat("x", 100+i))}}, true)
	}
	l.flush()
	lines := 0
	for _, b := range w.writes {
		if len(b) > 4096 || b[len(b)-1] != '\n' {
			t.Errorf("write of %d bytes ends with %q", len(b), b[len(b)-1])
		}
		lines += bytes.Count(b, []byte("\n"))
	}
	if lines != 100 {
		t.Errorf("%d lines, want 100", lines)
	}
}
