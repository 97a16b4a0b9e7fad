package demo

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/client"
	"github.com/papayahoist/papayahoist/cmd/internal/bench"
)

// roundTrips is the time for messages on loopback in the ideal response time.
const roundTrips = 2 * time.Millisecond

// Report holds the outcome of the jobs by contract, and the guarantees' checks.
// Broken lists violations, up to maxViolations.
type Report struct {
	Contracts []Line   `json:"contracts"`
	Promises  []Tally  `json:"promises"`
	Broken    []string `json:"broken,omitempty"`
}

// Line is the outcome of one contract's jobs. Times are in milliseconds; the ratios
// are response time over ideal.
type Line struct {
	Contract  string  `json:"contract"`
	Kind      string  `json:"kind"`
	Jobs      int     `json:"jobs"`
	Tasks     int     `json:"tasks"`
	SentTwice int     `json:"sent_twice"`
	Complete  int     `json:"whole"`
	NotRun    int     `json:"not_run"`
	Failed    int     `json:"failed"`
	Unknown   int     `json:"outcome_unknown"`
	P50Millis float64 `json:"p50_ms"`
	P99Millis float64 `json:"p99_ms"`
	P50Ratio  float64 `json:"p50_over_ideal"`
	P99Ratio  float64 `json:"p99_over_ideal"`
}

// Tally counts the checks of a guarantee and the violations found.
type Tally struct {
	Promise string `json:"promise"`
	Checked int    `json:"checked"`
	Broken  int    `json:"broken"`
}

// Err returns an error for each entry of Broken, joined, or nil if there is none.
func (r *Report) Err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	var all []error
	for _, broken := range r.Broken {
		all = append(all, ErrPromise.New("%s", broken))
	}
	return errors.Join(all...)
}

// Rows returns the outcomes by contract as a table with a header.
func (r *Report) Rows() [][]string {
	rows := [][]string{{"CONTRACT", "JOBS", "TASKS", "SENT TWICE", "WHOLE", "NOT RUN", "FAILED", "UNKNOWN", "P50", "P99", "P50/IDEAL", "P99/IDEAL"}}
	for _, l := range r.Contracts {
		rows = append(rows, []string{
			l.Contract, strconv.Itoa(l.Jobs), strconv.Itoa(l.Tasks), strconv.Itoa(l.SentTwice), strconv.Itoa(l.Complete),
			strconv.Itoa(l.NotRun), strconv.Itoa(l.Failed), strconv.Itoa(l.Unknown),
			fmt.Sprintf("%.0f ms", l.P50Millis), fmt.Sprintf("%.0f ms", l.P99Millis),
			fmt.Sprintf("%.2f", l.P50Ratio), fmt.Sprintf("%.2f", l.P99Ratio),
		})
	}
	return rows
}

// PromiseRows returns the guarantees as a table with a header.
func (r *Report) PromiseRows() [][]string {
	rows := [][]string{{"PROMISE", "CHECKED", "BROKEN"}}
	for _, t := range r.Promises {
		rows = append(rows, []string{t.Promise, strconv.Itoa(t.Checked), strconv.Itoa(t.Broken)})
	}
	return rows
}

// outcome is the raw result of a run.
type outcome struct {
	// records are the outcomes of the planned jobs, unknownContract those of the
	// jobs under an unknown contract.
	records, unknownContract []record
	starts                   map[task]int
	// faults is set if faults were injected; an outcome may be unknown then.
	faults bool
}

func newReport(profile bench.Profile, o outcome) *Report {
	report := &Report{}
	for i, stream := range profile.Streams {
		report.Contracts = append(report.Contracts, contractLine(profile, i, stream, o.records))
	}
	c := &check{report: report, starts: o.starts}
	c.startedOnce()
	c.each("an answer is whole and the job's own", o.records, c.complete)
	c.each("what was answered has run", o.records, c.allStarted)
	c.each(`"not run" is true`, slices.Concat(o.records, o.unknownContract), c.notRun)
	c.each("a job sent twice has one outcome", o.records, c.sameOutcome)
	c.each("a job without a contract is refused", o.unknownContract, c.isRefused)
	if !o.faults {
		c.each("without faults every job is answered", o.records, c.answered)
	}
	return report
}

func contractLine(profile bench.Profile, index int, stream bench.Stream, records []record) Line {
	l := Line{Contract: stream.Contract.Name, Kind: stream.Kind}
	var took []time.Duration
	var ratios []float64
	for _, r := range records {
		if r.plan.Stream != index {
			continue
		}
		l.Jobs++
		l.Tasks += len(r.plan.Tasks)
		if r.duplicate != nil {
			l.SentTwice++
		}
		switch {
		case r.err == nil:
			l.Complete++
			took = append(took, r.elapsed)
			ratios = append(ratios, float64(r.elapsed)/float64(profile.Ideal(r.plan, roundTrips)))
		case errorx.IsOfType(r.err, client.NotRun):
			l.NotRun++
		case errorx.IsOfType(r.err, client.Failed):
			l.Failed++
		default:
			l.Unknown++
		}
	}
	l.P50Millis, l.P99Millis = millis(quantile(took, 0.5)), millis(quantile(took, 0.99))
	l.P50Ratio, l.P99Ratio = quantile(ratios, 0.5), quantile(ratios, 0.99)
	return l
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile returns the smallest value that at least a fraction q of the values
// doesn't exceed, or zero if there are no values.
func quantile[T time.Duration | float64](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
