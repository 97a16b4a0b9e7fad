package soak

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Options configure Run.
type Options struct {
	Schedule Schedule
	// DaemonPath is the program that runs entries and agents.
	DaemonPath string
	// OutputDir is a folder for settings, logs and what was found; it must be there.
	OutputDir string
	// Untimed leaves out the promises with a time bound, so that a busy machine
	// changes no verdict.
	Untimed bool
	// Progress is told of each finding and now and then of the time; may be nil.
	Progress func(format string, args ...any)
}

// Report is what a soak saw.
type Report struct {
	Seed     uint64         `json:"seed"`
	Size     string         `json:"size"`
	Duration string         `json:"duration"`
	Jobs     map[string]int `json:"jobs"`
	Starts   int            `json:"starts"`
	// Actions by kind, and those that found nothing to hit.
	Actions map[Kind]int `json:"actions"`
	Idle    map[Kind]int `json:"idle_actions,omitempty"`
	// Processes started in all.
	Processes int       `json:"processes"`
	Findings  []Finding `json:"findings"`
}

// Err is of type ErrPromise when something was broken.
func (r *Report) Err() error {
	if len(r.Findings) == 0 {
		return nil
	}
	f := r.Findings[0]
	return ErrPromise.New("%d findings; the first after %v: %s: %s", len(r.Findings), f.At.Round(time.Millisecond), f.Promise, f.What)
}

// Names of the files that Run leaves in Options.OutputDir.
const (
	ScheduleFile = "schedule.json"
	ReportFile   = "report.json"
)

var discardLog = log.New(io.Discard, "", 0)

// recoveredPart of the jobs sent after the last fault must be served. All are on a
// machine with time to spare; the rest is room for one without.
const recoveredPart = 0.5

// Run plays a schedule. The error says that it couldn't be played, or that the
// context ended; what was broken is in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	size, ok := SizeByName(o.Schedule.Size)
	if !ok {
		return nil, ErrOptions.New("size %q", o.Schedule.Size)
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	if err := keep(o.OutputDir, ScheduleFile, o.Schedule); err != nil {
		return nil, err
	}
	plan := &o.Schedule
	calm := plan.calmAt
	if o.Untimed {
		calm = func(time.Duration) bool { return false }
	}
	ledger := NewLedger(calm)
	c, err := newCluster(o, size, ledger)
	if err != nil {
		return nil, err
	}
	defer c.close()
	p := &play{o: o, c: c, operator: newOperator(c), report: &Report{
		Seed: plan.Seed, Size: plan.Size, Duration: plan.Duration.String(), Actions: map[Kind]int{}, Idle: map[Kind]int{},
	}}
	p.callers = newCallers(c, plan)
	p.run(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return p.report, keep(o.OutputDir, ReportFile, p.report)
}

func keep(dir, name string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, name), append(text, '\n'), 0o600)
	}
	if err != nil {
		return ErrStart.Wrap(err, "%s", name)
	}
	return nil
}

// play is one run of a schedule.
type play struct {
	o        Options
	c        *cluster
	operator *operator
	callers  *callers

	mu     sync.Mutex
	report *Report
}

func (p *play) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.o.Schedule.Duration-p.c.since())
	defer cancel()
	p.operator.write()
	p.operator.write()
	inject := &injector{c: p.c, o: p.operator, note: p.noted}
	var wg sync.WaitGroup
	wg.Go(func() { p.operator.run(ctx) })
	wg.Go(func() { p.callers.run(ctx) })
	for _, a := range p.o.Schedule.Actions {
		select {
		case <-ctx.Done():
		case <-time.After(a.At - p.c.since()):
			p.o.Progress("%7.2f s %s", p.c.since().Seconds(), describe(a))
			inject.do(a)
		}
	}
	wg.Wait()
	inject.wg.Wait()
	p.end()
}

func describe(a Action) string {
	text, _ := json.Marshal(a)
	return string(text)
}

func (p *play) noted(a Action, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Actions[a.Kind]++
	if !done {
		p.report.Idle[a.Kind]++
	}
}

// end takes the last look.
func (p *play) end() {
	at := p.c.since()
	p.c.ledger.Close(at)
	last := p.callers.lastCalm
	if !p.o.Untimed && float64(last.completed) < recoveredPart*float64(last.sent) {
		p.c.ledger.Break(at, promiseRecovered, "%d of %d jobs were answered well after the last fault", last.completed, last.sent)
	}
	r := p.report
	r.Jobs, r.Starts, r.Findings = p.callers.outcomes, p.c.ledger.Starts(), p.c.ledger.Findings()
	for _, n := range p.c.nodes() {
		r.Processes += n.lives
	}
}
