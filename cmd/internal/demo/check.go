package demo

import (
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/client"
)

// maxBroken bounds the broken promises that are told one by one.
const maxBroken = 20

// check holds callers' answers against what the endpoints saw.
type check struct {
	report *Report
	starts map[task]int
}

// tell records one broken promise.
func (c *check) tell(format string, args ...any) {
	if len(c.report.Broken) < maxBroken {
		c.report.Broken = append(c.report.Broken, fmt.Sprintf(format, args...))
	}
}

// startedOnce checks every task that any endpoint saw.
func (c *check) startedOnce() {
	tally := Tally{Promise: "each task starts at most once", Checked: len(c.starts)}
	for t, count := range c.starts {
		if count > 1 {
			tally.Broken++
			c.tell("task %d of job %s started %d times", t.index, t.job, count)
		}
	}
	c.report.Promises = append(c.report.Promises, tally)
}

// verdict is what holding one record against a promise gives.
type verdict int

const (
	notConcerned verdict = iota
	held
	broken
)

// each holds every record, and every second sending, against a promise.
func (c *check) each(promise string, records []record, test func(job int, r record) verdict) {
	tally := Tally{Promise: promise}
	count := func(v verdict) {
		if v != notConcerned {
			tally.Checked++
		}
		if v == broken {
			tally.Broken++
		}
	}
	for i, r := range records {
		count(test(i, r))
		if r.again != nil {
			count(test(i, *r.again))
		}
	}
	c.report.Promises = append(c.report.Promises, tally)
}

func (c *check) whole(job int, r record) verdict {
	if r.answer == nil {
		return notConcerned
	}
	if len(r.answer.Results) != len(r.plan.Tasks) {
		c.tell("job %s: %d results for %d tasks", r.id, len(r.answer.Results), len(r.plan.Tasks))
		return broken
	}
	for i, result := range r.answer.Results {
		if want := echo(job, i); string(result.Body) != want {
			c.tell("job %s: task %d came back with %q, want %q", r.id, i, result.Body, want)
			return broken
		}
	}
	return held
}

// ran checks that no result was made up: the endpoints saw each task start.
func (c *check) ran(_ int, r record) verdict {
	if r.answer == nil {
		return notConcerned
	}
	for i := range r.plan.Tasks {
		if c.starts[task{job: r.id, index: uint32(i)}] == 0 {
			c.tell("job %s: answered, but task %d never started", r.id, i)
			return broken
		}
	}
	return held
}

func (c *check) notRun(_ int, r record) verdict {
	if !errorx.IsOfType(r.err, client.NotRun) {
		return notConcerned
	}
	for i := range r.plan.Tasks {
		if c.starts[task{job: r.id, index: uint32(i)}] > 0 {
			c.tell("job %s: said not to have run, but task %d started", r.id, i)
			return broken
		}
	}
	return held
}

// sameOutcome checks that two callers of one job were not told that it was
// answered and that it did not run.
func (c *check) sameOutcome(_ int, r record) verdict {
	if r.again == nil {
		return notConcerned
	}
	whole := r.answer != nil || r.again.answer != nil
	refused := errorx.IsOfType(r.err, client.NotRun) || errorx.IsOfType(r.again.err, client.NotRun)
	if whole && refused {
		c.tell("job %s: one caller got its answer, the other was told that it did not run", r.id)
		return broken
	}
	return held
}

func (c *check) isRefused(_ int, r record) verdict {
	if !errorx.IsOfType(r.err, client.NotRun) {
		c.tell("a job without a contract ended with: %v", r.err)
		return broken
	}
	return held
}

func (c *check) answered(_ int, r record) verdict {
	if r.err != nil {
		c.tell("job %s of contract stream %d: %v", r.id, r.plan.Stream, r.err)
		return broken
	}
	return held
}
