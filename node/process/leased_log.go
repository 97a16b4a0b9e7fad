package process

import (
	"log/slog"
	"math"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/dispatcher"
	"github.com/papayahoist/papayahoist/dispatch/runner"
	"github.com/papayahoist/papayahoist/dispatch/size"
	"github.com/papayahoist/papayahoist/node/decisionlog"
)

// attrs collects the attributes of a log line. Zero values are omitted.
type attrs []slog.Attr

func (a *attrs) text(key, value string) {
	if value != "" {
		*a = append(*a, slog.String(key, value))
	}
}

func (a *attrs) number(key string, n uint64) {
	if n != 0 {
		*a = append(*a, slog.Uint64(key, n))
	}
}

// millis adds d in milliseconds, rounded to a tenth.
func (a *attrs) millis(key string, d time.Duration) {
	if d != 0 {
		*a = append(*a, slog.Float64(key, float64(d.Round(100*time.Microsecond).Microseconds())/1000))
	}
}

// ratio adds r, rounded to a hundredth.
func (a *attrs) ratio(key string, r float64) {
	if r != 0 {
		*a = append(*a, slog.Float64(key, math.Round(100*r)/100))
	}
}

func (a *attrs) freeCapacity(s size.Size) {
	if s != (size.Size{}) {
		*a = append(*a, slog.Int64("free_cpu", s.CPUMillis))
	}
}

// routineEvents are the events of work that proceeds normally.
var routineEvents = map[string]bool{"task_ordered": true, "run_ended": true, "run_started": true, "run_done": true}

func dispatcherLogger(l *decisionlog.Log, m *leasedMetrics) func(dispatcher.Decision) {
	return func(d dispatcher.Decision) {
		m.countDecision(d.Event, d.Reason)
		switch d.Event {
		case "job_answered":
			m.jobs.WithLabelValues(d.Outcome).Observe(d.Elapsed.Seconds())
		case "task_ordered":
			m.orderWaits.Observe(d.Elapsed.Seconds())
		case "run_ended":
			m.runs.WithLabelValues(d.Outcome).Observe(d.Elapsed.Seconds())
		}
		var a attrs
		a.text("domain", d.Domain)
		a.text("job", d.Job)
		a.text("queue", d.Queue)
		a.number("version", d.Version)
		a.text("task", d.Task)
		a.number("run", uint64(d.Run))
		a.text("agent", d.Agent)
		a.number("order", d.Order)
		a.text("outcome", d.Outcome)
		a.text("reason", d.Reason)
		a.millis("age_ms", d.Age)
		a.millis("elapsed_ms", d.Elapsed)
		a.number("waiting", uint64(d.Waiting))
		a.freeCapacity(d.Free)
		a.millis("retry_ms", d.Retry)
		a.number("tasks", uint64(d.Tasks))
		a.millis("longest_ms", d.Longest)
		a.millis("objective_ms", d.Objective)
		a.millis("limit_ms", d.Limit)
		a.ratio("speed", d.Speed)
		l.Add(decisionlog.Line{At: time.Now(), Event: d.Event, Attrs: a}, routineEvents[d.Event])
	}
}

func runnerLogger(l *decisionlog.Log, m *leasedMetrics) func(runner.Decision) {
	return func(d runner.Decision) {
		m.countDecision(d.Event, d.Reason)
		var a attrs
		a.text("task", d.Task)
		a.number("run", uint64(d.Run))
		a.text("entry", d.Entry)
		a.number("order", d.Order)
		a.text("reason", d.Reason)
		a.millis("age_ms", d.PollAge)
		a.millis("elapsed_ms", d.Elapsed)
		a.millis("lease_left_ms", d.LeaseLeft)
		a.freeCapacity(d.FreeCapacity)
		l.Add(decisionlog.Line{At: time.Now(), Event: d.Event, Attrs: a}, routineEvents[d.Event])
	}
}
