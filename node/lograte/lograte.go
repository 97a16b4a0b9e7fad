// Package lograte bounds the log lines of a process.
//
// In a fault storm, thousands of links change state in a second. Without a
// bound, a process spends its share of the processor on log lines, and the
// platform's log service slows everything that writes to it. Lines beyond the
// rate are counted instead of written, and the next line that passes tells how
// many were held back; the time line still has the events.
package lograte

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of a handler.
const (
	DefaultLinesPerSecond = 5
	DefaultBurst          = 50
)

// Counter counts lines; a prometheus.Counter is one.
type Counter interface{ Inc() }

// Options of a handler.
type Options struct {
	// LinesPerSecond and Burst bound the lines; zero takes the defaults.
	LinesPerSecond float64
	Burst          int
	// Written and Suppressed may be nil.
	Written, Suppressed Counter
	// Now is the clock of the bound; nil takes time.Now.
	Now func() time.Time
}

// NewHandler returns a handler that passes lines on to next within the bound.
// Handlers made from it by WithAttrs and WithGroup share its bound.
func NewHandler(next slog.Handler, o Options) slog.Handler {
	if o.LinesPerSecond <= 0 {
		o.LinesPerSecond = DefaultLinesPerSecond
	}
	if o.Burst <= 0 {
		o.Burst = DefaultBurst
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &handler{next: next, state: &state{
		options: o,
		limiter: rate.NewLimiter(rate.Limit(o.LinesPerSecond), o.Burst),
	}}
}

// state is shared by all handlers of one NewHandler.
type state struct {
	options    Options
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

type handler struct {
	next  slog.Handler
	state *state
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	s := h.state
	now := s.options.Now()
	if !s.limiter.AllowN(now, 1) {
		s.suppressed.Add(1)
		inc(s.options.Suppressed)
		return nil
	}
	// The number of lines held back rides on the first line that passes, so
	// that telling of them costs no line of its own.
	if n := s.suppressed.Swap(0); n > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int64("lines_suppressed", n))
	}
	inc(s.options.Written)
	return h.next.Handle(ctx, r)
}

func inc(c Counter) {
	if c != nil {
		c.Inc()
	}
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{next: h.next.WithAttrs(attrs), state: h.state}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{next: h.next.WithGroup(name), state: h.state}
}
