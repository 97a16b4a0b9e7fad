// Package lograte limits the rate of log lines of a process.
//
// In a large outage, thousands of links change state within a second. Without a
// limit, a process would spend its CPU time on log lines, and the platform's log
// service would slow down all processes that write to it. Lines beyond the limit
// are suppressed and counted, and the next line that is written has their number.
// The time line still records the events.
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

// Counter counts lines. It is implemented by prometheus.Counter.
type Counter interface{ Inc() }

// Options configures a handler.
type Options struct {
	// LinesPerSecond and Burst limit the lines; if zero, the defaults are used.
	LinesPerSecond float64
	Burst          int
	// Written and Suppressed count the lines that were written and suppressed; they
	// may be nil.
	Written, Suppressed Counter
	// Now returns the time for the rate limit; the default is time.Now.
	Now func() time.Time
}

// NewHandler returns a handler that passes lines to next within the rate limit.
// Handlers derived from it by WithAttrs and WithGroup share the limit.
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

// state is shared by all handlers derived from one NewHandler call.
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
		increment(s.options.Suppressed)
		return nil
	}
	// The number of suppressed lines is added to the next line that is written, so
	// that reporting it needs no additional line.
	if n := s.suppressed.Swap(0); n > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int64("lines_suppressed", n))
	}
	increment(s.options.Written)
	return h.next.Handle(ctx, r)
}

func increment(c Counter) {
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
