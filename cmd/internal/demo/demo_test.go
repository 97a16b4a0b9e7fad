package demo

import (
	"io"
	"testing"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	"github.com/papayahoist/papayahoist/client"
	"github.com/papayahoist/papayahoist/cmd/internal/bench"
)

// Each case is a run in which one guarantee is violated; the report must name that
// guarantee.
func TestReportNamesBrokenPromise(t *testing.T) {
	plan := bench.JobPlan{Tasks: make([]bench.TaskPlan, 2)}
	good := func(job int) record {
		return record{plan: plan, id: "a", answer: &client.Answer{ID: "a", Results: []jobs.Result{
			{Task: 0, Body: []byte(echo(job, 0))}, {Task: 1, Body: []byte(echo(job, 1))},
		}}}
	}
	short := good(0)
	short.answer = &client.Answer{ID: "a", Results: short.answer.Results[:1]}
	twice := good(0)
	twice.duplicate = &record{plan: plan, id: "a", err: client.NotRun.New("refused")}
	ran := map[task]int{{"a", 0}: 1, {"a", 1}: 1}
	tests := []struct {
		name    string
		outcome outcome
		promise string // "": all hold
	}{
		{"all held", outcome{records: []record{good(0)}, starts: ran}, ""},
		{"task started twice", outcome{records: []record{good(0)}, starts: map[task]int{{"a", 0}: 2, {"a", 1}: 1}}, "each task starts at most once"},
		{"result missing", outcome{records: []record{short}, starts: ran}, "an answer is whole and the job's own"},
		{"another job's result", outcome{records: []record{good(7)}, starts: ran}, "an answer is whole and the job's own"},
		{"result made up", outcome{records: []record{good(0)}}, "what was answered has run"},
		{"false not run", outcome{records: []record{{plan: plan, id: "a", err: client.NotRun.New("refused")}}, starts: ran, faults: true}, `"not run" is true`},
		{"two outcomes", outcome{records: []record{twice}, faults: true, starts: ran}, "a job sent twice has one outcome"},
		{"unknown contract served", outcome{unknownContract: []record{good(0)}, starts: ran}, "a job without a contract is refused"},
		{"job not answered", outcome{records: []record{{plan: plan, id: "a", err: client.Failed.New("failed")}}}, "without faults every job is answered"},
		{"job not answered under faults", outcome{records: []record{{plan: plan, id: "a", err: client.Failed.New("failed")}}, faults: true}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			report := newReport(mixedProfile(), test.outcome)
			named := test.promise == ""
			for _, tally := range report.Promises {
				named = named || tally.Promise == test.promise && tally.Broken > 0
			}
			if !named || (report.Err() == nil) != (test.promise == "") {
				t.Errorf("promises %+v, error %v; want %q broken", report.Promises, report.Err(), test.promise)
			}
		})
	}
}

// A short run over loopback: the site starts, serves, and drains.
func TestRun(t *testing.T) {
	d, err := New(t.Context(), Options{
		Duration: 300 * time.Millisecond, Load: 0.5, Seed: DefaultSeed,
		Progress: t.Logf, Log: io.Discard,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()
	report, err := d.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if err := report.Err(); err != nil {
		t.Error(err)
	}
}
