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
	// DaemonPath is the path of the program that runs entries and agents.
	DaemonPath string
	// OutputDir is an existing folder for settings, logs and the report.
	OutputDir string
	// Untimed disables the promises with a time bound, so that a busy machine
	// can't change the verdict.
	Untimed bool
	// Progress is called with each action when it starts; it may be nil.
	Progress func(format string, args ...any)
}

// Report is the result of a soak.
type Report struct {
	Seed     uint64         `json:"seed"`
	Size     string         `json:"size"`
	Duration string         `json:"duration"`
	Jobs     map[string]int `json:"jobs"`
	Starts   int            `json:"starts"`
	// Actions by kind, and those whose target wasn't running.
	Actions map[Kind]int `json:"actions"`
	Idle    map[Kind]int `json:"idle_actions,omitempty"`
	// Processes is the number of processes started.
	Processes int       `json:"processes"`
	Findings  []Finding `json:"findings"`
}

// Err returns an error of type ErrPromise if a promise was broken.
func (r *Report) Err() error {
	if len(r.Findings) == 0 {
		return nil
	}
	f := r.Findings[0]
	return ErrPromise.New("%d findings; the first after %v: %s: %s", len(r.Findings), f.At.Round(time.Millisecond), f.Promise, f.What)
}

// Names of the files that Run writes to Options.OutputDir.
const (
	ScheduleFile = "schedule.json"
	ReportFile   = "report.json"
)

var discardLog = log.New(io.Discard, "", 0)

// minRecoveredShare is the minimum fraction of the jobs sent after the last fault
// that must be answered. With CPU to spare all of them are; the margin allows for a
// busy machine.
const minRecoveredShare = 0.5

// Run executes a schedule. It returns an error if that wasn't possible or if the
// context ended; broken promises are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	size, ok := SizeByName(o.Schedule.Size)
	if !ok {
		return nil, ErrOptions.New("size %q", o.Schedule.Size)
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	if err := writeJSON(o.OutputDir, ScheduleFile, o.Schedule); err != nil {
		return nil, err
	}
	plan := &o.Schedule
	calm := plan.calmAt
	if o.Untimed {
		calm = func(time.Duration) bool { return false }
	}
	checker := NewChecker(calm)
	c, err := newCluster(o, size, checker)
	if err != nil {
		return nil, err
	}
	defer c.close()
	p := &execution{o: o, c: c, operator: newOperator(c, plan.Seed), report: &Report{
		Seed: plan.Seed, Size: plan.Size, Duration: plan.Duration.String(), Actions: map[Kind]int{}, Idle: map[Kind]int{},
	}}
	p.callers = newCallers(c, plan)
	p.run(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return p.report, writeJSON(o.OutputDir, ReportFile, p.report)
}

func writeJSON(dir, name string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, name), append(text, '\n'), 0o600)
	}
	if err != nil {
		return ErrStart.Wrap(err, "%s", name)
	}
	return nil
}

// execution is one execution of a schedule.
type execution struct {
	o        Options
	c        *cluster
	operator *operator
	callers  *callers

	mu     sync.Mutex
	report *Report
}

func (p *execution) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.o.Schedule.Duration-p.c.since())
	defer cancel()
	p.operator.write()
	p.operator.write()
	inject := &injector{c: p.c, o: p.operator, record: p.recordAction}
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
	p.finish()
}

func describe(a Action) string {
	text, _ := json.Marshal(a)
	return string(text)
}

func (p *execution) recordAction(a Action, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Actions[a.Kind]++
	if !done {
		p.report.Idle[a.Kind]++
	}
}

// finish performs the final checks and completes the report.
func (p *execution) finish() {
	at := p.c.since()
	p.c.checker.CheckFinal(at)
	last := p.callers.lastCalm
	if !p.o.Untimed && float64(last.completed) < minRecoveredShare*float64(last.sent) {
		p.c.checker.AddFinding(at, promiseRecovered, "only %d of %d jobs were answered after the last fault", last.completed, last.sent)
	}
	r := p.report
	r.Jobs, r.Starts, r.Findings = p.callers.outcomes, p.c.checker.Starts(), p.c.checker.Findings()
	for _, n := range p.c.nodes() {
		r.Processes += n.starts
	}
}
