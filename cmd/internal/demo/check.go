package demo

import (
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/client"
)

// maxViolations is the maximum number of violations that are listed individually.
const maxViolations = 20

// check compares the callers' answers with the starts that the endpoints recorded.
type check struct {
	report *Report
	starts map[task]int
}

// addViolation records one violation of a guarantee, up to maxViolations.
func (c *check) addViolation(format string, args ...any) {
	if len(c.report.Broken) < maxViolations {
		c.report.Broken = append(c.report.Broken, fmt.Sprintf(format, args...))
	}
}

// startedOnce checks that no task was started twice, over all endpoints.
func (c *check) startedOnce() {
	tally := Tally{Promise: "each task starts at most once", Checked: len(c.starts)}
	for t, count := range c.starts {
		if count > 1 {
			tally.Broken++
			c.addViolation("task %d of job %s started %d times", t.index, t.job, count)
		}
	}
	c.report.Promises = append(c.report.Promises, tally)
}

// verdict is the result of checking one record against a guarantee.
type verdict int

const (
	notApplicable verdict = iota
	held
	broken
)

// each checks every record, including duplicate submissions, against a guarantee.
func (c *check) each(promise string, records []record, test func(job int, r record) verdict) {
	tally := Tally{Promise: promise}
	count := func(v verdict) {
		if v != notApplicable {
			tally.Checked++
		}
		if v == broken {
			tally.Broken++
		}
	}
	for i, r := range records {
		count(test(i, r))
		if r.duplicate != nil {
			count(test(i, *r.duplicate))
		}
	}
	c.report.Promises = append(c.report.Promises, tally)
}

func (c *check) complete(job int, r record) verdict {
	if r.answer == nil {
		return notApplicable
	}
	if len(r.answer.Results) != len(r.plan.Tasks) {
		c.addViolation("job %s: %d results for %d tasks", r.id, len(r.answer.Results), len(r.plan.Tasks))
		return broken
	}
	for i, result := range r.answer.Results {
		if want := echo(job, i); string(result.Body) != want {
			c.addViolation("job %s: task %d returned %q, want %q", r.id, i, result.Body, want)
			return broken
		}
	}
	return held
}

// allStarted checks that each task of an answered job was started at an endpoint, so
// that no result is fabricated.
func (c *check) allStarted(_ int, r record) verdict {
	if r.answer == nil {
		return notApplicable
	}
	for i := range r.plan.Tasks {
		if c.starts[task{job: r.id, index: uint32(i)}] == 0 {
			c.addViolation("job %s: answered, but task %d never started", r.id, i)
			return broken
		}
	}
	return held
}

func (c *check) notRun(_ int, r record) verdict {
	if !errorx.IsOfType(r.err, client.NotRun) {
		return notApplicable
	}
	for i := range r.plan.Tasks {
		if c.starts[task{job: r.id, index: uint32(i)}] > 0 {
			c.addViolation("job %s: reported as not run, but task %d started", r.id, i)
			return broken
		}
	}
	return held
}

// sameOutcome checks that of two submissions of one job, none is reported as not run
// if the other is answered.
func (c *check) sameOutcome(_ int, r record) verdict {
	if r.duplicate == nil {
		return notApplicable
	}
	whole := r.answer != nil || r.duplicate.answer != nil
	refused := errorx.IsOfType(r.err, client.NotRun) || errorx.IsOfType(r.duplicate.err, client.NotRun)
	if whole && refused {
		c.addViolation("job %s: one caller received its answer, the other was told that it was not run", r.id)
		return broken
	}
	return held
}

func (c *check) isRefused(_ int, r record) verdict {
	if !errorx.IsOfType(r.err, client.NotRun) {
		c.addViolation("a job without a contract ended with: %v", r.err)
		return broken
	}
	return held
}

func (c *check) answered(_ int, r record) verdict {
	if r.err != nil {
		c.addViolation("job %s of contract stream %d: %v", r.id, r.plan.Stream, r.err)
		return broken
	}
	return held
}
