// Package decisionlog writes a structured log line for each decision without blocking
// the goroutine that makes it. Lines are put into a bounded queue, and a single
// goroutine formats and writes them. If the writer stalls or can't keep up, lines are
// dropped and counted, routine ones first, and the number of dropped lines is logged
// with the next write.
package decisionlog

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

// Line is one decision.
type Line struct {
	At    time.Time
	Level slog.Level
	Event string
	Attrs []slog.Attr
}

const (
	// queueSize is the number of lines that a busy entry logs within a few seconds.
	queueSize = 4096
	// routineShare is the fraction of the queue available to routine lines. The
	// rest is reserved for refusals, failures and state changes.
	routineShare = 0.75
	// batchDelay is the time for which lines are collected, so that they share one
	// wake-up and few writes.
	batchDelay = 100 * time.Millisecond
	// maxWriteBytes is the maximum size of one write. Up to this size (PIPE_BUF)
	// writes to a pipe are atomic. Some log collectors keep only the beginning of
	// longer writes.
	maxWriteBytes = 4096
)

// Log is a queue of lines with its writer. Use New to create one.
type Log struct {
	w       *lineWriter
	handler slog.Handler

	wake chan struct{} // signals that lines is no longer empty

	mu      sync.Mutex
	lines   []Line
	dropped uint64
}

// New returns a log that writes JSON lines to w, each with attrs. Nothing is written
// until Run is called.
func New(w io.Writer, attrs ...slog.Attr) *Log {
	b := &lineWriter{bufio.NewWriterSize(w, maxWriteBytes)}
	return &Log{w: b, wake: make(chan struct{}, 1), handler: slog.NewJSONHandler(b, &slog.HandlerOptions{Level: slog.LevelDebug}).WithAttrs(attrs)}
}

// lineWriter batches lines into writes that never split a line that fits the buffer.
type lineWriter struct{ *bufio.Writer }

// Write buffers one line.
func (w *lineWriter) Write(line []byte) (int, error) {
	if len(line) > w.Available() {
		if err := w.Flush(); err != nil {
			return 0, err
		}
	}
	return w.Writer.Write(line)
}

// Add queues a line, or drops it if the queue is full. For routine lines the queue is
// full earlier. Add never blocks.
func (l *Log) Add(line Line, routine bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := queueSize
	if routine {
		limit = int(routineShare * queueSize)
	}
	if len(l.lines) >= limit {
		l.dropped++
		return
	}
	l.lines = append(l.lines, line)
	if len(l.lines) == 1 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// Run writes lines until ctx is done, and then writes the lines that remain.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-l.wake:
			l.waitForBatch(ctx)
			l.flush()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

// waitForBatch waits while more lines are queued. It runs only after a line was
// queued, so an idle process is not woken up.
func (l *Log) waitForBatch(ctx context.Context) {
	select {
	case <-time.After(batchDelay):
	case <-ctx.Done():
	}
}

// flush writes all queued lines, preceded by the number of dropped lines.
func (l *Log) flush() {
	l.mu.Lock()
	lines, dropped := l.lines, l.dropped
	l.lines, l.dropped = nil, 0
	l.mu.Unlock()
	if dropped > 0 {
		l.write(Line{At: time.Now(), Level: slog.LevelWarn, Event: "lines_dropped", Attrs: []slog.Attr{slog.Uint64("lines", dropped)}})
	}
	for _, line := range lines {
		l.write(line)
	}
	_ = l.w.Flush()
}

func (l *Log) write(line Line) {
	r := slog.NewRecord(line.At, line.Level, line.Event, 0)
	r.AddAttrs(line.Attrs...)
	_ = l.handler.Handle(context.Background(), r)
}

// Handler returns a slog.Handler that puts other log lines into the same queue.
func (l *Log) Handler() slog.Handler { return queueHandler{l: l} }

type queueHandler struct {
	l     *Log
	attrs []slog.Attr
}

// Enabled implements slog.Handler.
func (h queueHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (h queueHandler) Handle(_ context.Context, r slog.Record) error {
	attrs := append([]slog.Attr(nil), h.attrs...)
	r.Attrs(func(a slog.Attr) bool {
		attrs = append(attrs, a)
		return true
	})
	h.l.Add(Line{At: r.Time, Level: r.Level, Event: r.Message, Attrs: attrs}, false)
	return nil
}

// WithAttrs implements slog.Handler.
func (h queueHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return queueHandler{h.l, append(append([]slog.Attr(nil), h.attrs...), attrs...)}
}

// WithGroup implements slog.Handler. It ignores groups.
func (h queueHandler) WithGroup(string) slog.Handler { return h }
