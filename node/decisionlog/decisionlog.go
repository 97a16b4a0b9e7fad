// Package decisionlog writes a structured line for each decision without ever
// making the one that decides wait: lines go through a bounded ring, and a single
// goroutine formats and writes them. When the writer stalls or can't keep up, lines
// are dropped and counted, plain successes first, and the next line that passes
// says how many.
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
	// ringSize is some seconds of lines of a busy entry.
	ringSize = 4096
	// routineShare is the part of the ring that lines of plain successes may fill;
	// refusals, failures and changes of belief find room when it is full.
	routineShare = 0.75
	// writeEvery gathers lines, so that they cost one write and one wake-up.
	writeEvery = 100 * time.Millisecond
	// writeBytes bounds one write. A pipe takes so many bytes whole or not at all
	// (PIPE_BUF); of longer writes collectors have been seen to keep the beginning.
	writeBytes = 4096
)

// Log is the ring and its writer. Use New.
type Log struct {
	w       *wholeLines
	handler slog.Handler

	wake chan struct{} // there are lines

	mu      sync.Mutex
	lines   []Line
	dropped uint64
}

// New returns a log that writes JSON lines with the attributes. Run writes them.
func New(w io.Writer, attrs ...slog.Attr) *Log {
	b := &wholeLines{bufio.NewWriterSize(w, writeBytes)}
	return &Log{w: b, wake: make(chan struct{}, 1), handler: slog.NewJSONHandler(b, &slog.HandlerOptions{Level: slog.LevelDebug}).WithAttrs(attrs)}
}

// wholeLines gathers lines into writes that end with a line's end.
type wholeLines struct{ *bufio.Writer }

// Write takes one line.
func (w *wholeLines) Write(line []byte) (int, error) {
	if len(line) > w.Available() {
		if err := w.Flush(); err != nil {
			return 0, err
		}
	}
	return w.Writer.Write(line)
}

// Add puts a line into the ring. Routine lines give way to others. It never blocks.
func (l *Log) Add(line Line, routine bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := ringSize
	if routine {
		limit = int(routineShare * ringSize)
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

// Run writes until the context ends, and then what is left.
func (l *Log) Run(ctx context.Context) {
	for {
		select {
		case <-l.wake:
			l.gather(ctx)
			l.flush()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

// gather waits for more lines. An idle process has none and is not woken.
func (l *Log) gather(ctx context.Context) {
	select {
	case <-time.After(writeEvery):
	case <-ctx.Done():
	}
}

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

// Handler returns a handler for lines that are not decisions, through the same
// ring.
func (l *Log) Handler() slog.Handler { return ringHandler{l: l} }

type ringHandler struct {
	l     *Log
	attrs []slog.Attr
}

// Enabled implements slog.Handler.
func (h ringHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (h ringHandler) Handle(_ context.Context, r slog.Record) error {
	attrs := append([]slog.Attr(nil), h.attrs...)
	r.Attrs(func(a slog.Attr) bool {
		attrs = append(attrs, a)
		return true
	})
	h.l.Add(Line{At: r.Time, Level: r.Level, Event: r.Message, Attrs: attrs}, false)
	return nil
}

// WithAttrs implements slog.Handler.
func (h ringHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return ringHandler{h.l, append(append([]slog.Attr(nil), h.attrs...), attrs...)}
}

// WithGroup implements slog.Handler. Groups are not used.
func (h ringHandler) WithGroup(string) slog.Handler { return h }
