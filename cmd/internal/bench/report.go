package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/joomcode/errorx"

	"github.com/papayahoist/papayahoist/api/jobs"
	"github.com/papayahoist/papayahoist/client"
	"github.com/papayahoist/papayahoist/dispatch/job"
	standin "github.com/papayahoist/papayahoist/platform/standin/endpoint"
)

// Report holds the results of a run. Its terms are defined in docs/design/measures.md.
type Report struct {
	Profile  string  `json:"profile"`
	Policy   string  `json:"policy"`
	Load     float64 `json:"load"`
	Seconds  float64 `json:"seconds"`
	Seed     uint64  `json:"seed"`
	Faults   []Fault `json:"faults"`
	Jobs     int     `json:"jobs"`
	Tasks    int     `json:"tasks"`
	Complete int     `json:"complete"`

	ResponseOverIdealP50 float64 `json:"response_over_ideal_p50"`
	ResponseOverIdealP99 float64 `json:"response_over_ideal_p99"`
	// Goodput is the task time of the completed jobs over the site's capacity from
	// the first arrival to the last answer.
	Goodput float64 `json:"goodput"`

	MessagesPerTask           float64            `json:"messages_per_task"`
	WastedMessagesPerTask     float64            `json:"wasted_messages_per_task"`
	IdleMessagesPerNodeSecond float64            `json:"idle_messages_per_node_second"`
	IdleBytesPerNodeSecond    float64            `json:"idle_bytes_per_node_second"`
	MessagesByKind            map[string]float64 `json:"messages_per_task_by_kind"`

	// WastedByReason counts the messages that the processes themselves reported as
	// wasted, per task.
	WastedByReason map[string]float64 `json:"wasted_per_task_by_reason"`

	DoubleStarts   int `json:"double_starts"`
	PartialAnswers int `json:"partial_answers"`
	LostResults    int `json:"lost_results"`
	FalseNotRun    int `json:"false_not_run"`
	OutcomeUnknown int `json:"outcome_unknown"`
	Failed         int `json:"failed"`
	Refused        int `json:"refused"`

	RefusedByCode map[jobs.Code]int `json:"refused_by_code"`
	FailedByCode  map[jobs.Code]int `json:"failed_by_code"`
	Contracts     []ContractReport  `json:"contracts"`

	ratios  *hdrhistogram.Histogram
	elapsed time.Duration
}

// ContractReport holds the results of one contract. Offered, Contracted and Served
// are task time over the site's capacity.
type ContractReport struct {
	Contract   string  `json:"contract"`
	Offered    float64 `json:"offered"`
	Contracted float64 `json:"contracted"`
	Served     float64 `json:"served"`
	Refused    int     `json:"refused"`
	P50        float64 `json:"response_over_ideal_p50"`
	P99        float64 `json:"response_over_ideal_p99"`

	ratios *hdrhistogram.Histogram
}

// PromisesHeld reports whether no guarantee was violated.
func (rep *Report) PromisesHeld() bool {
	return rep.DoubleStarts == 0 && rep.PartialAnswers == 0 && rep.LostResults == 0 && rep.FalseNotRun == 0
}

const (
	ratioScale  = 1000 // histogram units per 1.0
	maxRatio    = 10_000 * ratioScale
	ratioDigits = 3
)

func newRatios() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio, ratioDigits) }

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / ratioScale
}

// endpointCounts counts the starts and ends of tasks at all endpoints.
type endpointCounts struct {
	starts map[standin.TaskKey]int
	byJob  map[string]int // started tasks by job
	ended  map[string]int
}

func (r *run) countTasks() endpointCounts {
	s := endpointCounts{
		starts: make(map[standin.TaskKey]int), byJob: make(map[string]int),
		ended: make(map[string]int),
	}
	for _, a := range r.site.Agents() {
		// Endpoints identify a job by contract and ID.
		for k, n := range a.Worker().StartCounts() {
			_, k.Job = job.SplitName(k.Job)
			s.starts[k] += n
			s.byJob[k.Job]++
		}
		for k := range a.Worker().EndTimes() {
			_, k.Job = job.SplitName(k.Job)
			s.ended[k.Job]++
		}
	}
	return s
}

func (r *run) report() *Report {
	c := r.config
	rep := &Report{
		Profile: c.Profile.Name, Policy: c.Policy, Load: c.Load, Seconds: c.Duration.Seconds(), Seed: c.Seed,
		Faults: c.Faults, Jobs: len(r.outcomes), ratios: newRatios(), elapsed: r.elapsed,
		RefusedByCode: make(map[jobs.Code]int), FailedByCode: make(map[jobs.Code]int),
	}
	for _, s := range c.Profile.Streams {
		rep.Contracts = append(rep.Contracts, ContractReport{
			Contract:   s.Contract.Name,
			Contracted: float64(s.Contract.Concurrency) / c.Profile.Capacity(), ratios: newRatios(),
		})
	}
	counts := r.countTasks()
	for _, n := range counts.starts {
		if n > 1 {
			rep.DoubleStarts += n - 1
		}
	}
	for i := range r.outcomes {
		rep.score(c, counts, &r.outcomes[i])
	}
	for i := range rep.Contracts {
		cr := &rep.Contracts[i]
		cr.P50, cr.P99 = quantile(cr.ratios, 50), quantile(cr.ratios, 99)
	}
	rep.ResponseOverIdealP50, rep.ResponseOverIdealP99 = quantile(rep.ratios, 50), quantile(rep.ratios, 99)
	rep.countMessages(r)
	return rep
}

// score adds the outcome of one job to the report.
func (rep *Report) score(c Config, counts endpointCounts, o *outcome) {
	cr := &rep.Contracts[o.plan.Stream]
	work := taskSeconds(o.plan) / (c.Profile.Capacity() * c.Duration.Seconds())
	cr.Offered += work
	rep.Tasks += len(o.plan.Tasks)
	switch {
	case o.err == nil:
		rep.Complete++
		cr.Served += work
		rep.Goodput += work * c.Duration.Seconds() / max(rep.elapsed, c.Duration).Seconds()
		if !o.complete {
			rep.PartialAnswers++
		}
		ideal := c.Profile.Ideal(*o.plan, 2*c.Profile.CallerDelay+2*c.Profile.Delay)
		ratio := int64(float64(o.elapsed) / float64(ideal) * ratioScale)
		_ = rep.ratios.RecordValue(min(ratio, maxRatio))
		_ = cr.ratios.RecordValue(min(ratio, maxRatio))
	case errorx.IsOfType(o.err, client.NotRun):
		rep.Refused++
		cr.Refused++
		rep.RefusedByCode[client.CodeOf(o.err)]++
		if counts.byJob[o.id] > 0 {
			rep.FalseNotRun++
		}
	case errorx.IsOfType(o.err, client.OutcomeUnknown):
		rep.OutcomeUnknown++
	case errorx.IsOfType(o.err, client.Failed):
		rep.Failed++
		rep.FailedByCode[client.CodeOf(o.err)]++
		if counts.ended[o.id] == len(o.plan.Tasks) && client.CodeOf(o.err) != jobs.CodeDeadline {
			rep.LostResults++
		}
	default:
		// No answer, or an error of an unknown type: the caller can't tell the outcome.
		rep.LostResults++
	}
}

func taskSeconds(j *JobPlan) float64 {
	var total time.Duration
	for _, t := range j.Tasks {
		total += t.Run
	}
	return total.Seconds()
}

// countMessages sets the message counts, both under load and idle. A message counts
// as wasted if the answers would have been the same without it: frames that carry
// only acknowledgements, returned credits, and messages that the processes
// themselves reported as wasted.
func (rep *Report) countMessages(r *run) {
	tasks := float64(max(1, rep.Tasks))
	rep.MessagesByKind = make(map[string]float64)
	rep.WastedByReason = make(map[string]float64)
	for kind, n := range r.after.ByKind {
		if n -= r.before.ByKind[kind]; n > 0 {
			rep.MessagesByKind[kind] = n / tasks
			rep.MessagesPerTask += n / tasks
		}
	}
	rep.WastedMessagesPerTask = rep.MessagesByKind["heartbeat"] + rep.MessagesByKind["credits"]
	for reason, n := range r.after.Wasted {
		if n -= r.before.Wasted[reason]; n > 0 {
			rep.WastedByReason[reason] = n / tasks
			rep.WastedMessagesPerTask += n / tasks
		}
	}
	nodeSeconds := float64(r.config.Profile.Workers+r.config.Profile.Entries) * idleDuration.Seconds()
	rep.IdleMessagesPerNodeSecond = (r.idleAfter.Total() - r.idleBefore.Total()) / nodeSeconds
	rep.IdleBytesPerNodeSecond = (r.idleAfter.Bytes - r.idleBefore.Bytes) / nodeSeconds
}

// WriteJSON writes the report as indented JSON.
func (rep *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(rep)
}

// WriteTable writes one or more reports side by side, as aligned text.
func WriteTable(w io.Writer, reports ...*Report) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	row := func(name string, f func(*Report) any) {
		fmt.Fprintf(tw, "%s\t", name)
		for _, r := range reports {
			if v, ok := f(r).(float64); ok {
				fmt.Fprintf(tw, "%.4f\t", v)
				continue
			}
			fmt.Fprintf(tw, "%v\t", f(r))
		}
		fmt.Fprintln(tw)
	}
	row("profile", func(r *Report) any { return r.Profile })
	row("policy", func(r *Report) any { return r.Policy })
	row("load", func(r *Report) any { return r.Load })
	row("jobs", func(r *Report) any { return r.Jobs })
	row("tasks", func(r *Report) any { return r.Tasks })
	row("complete", func(r *Report) any { return r.Complete })
	row("response/ideal p50", func(r *Report) any { return r.ResponseOverIdealP50 })
	row("response/ideal p99", func(r *Report) any { return r.ResponseOverIdealP99 })
	row("goodput", func(r *Report) any { return r.Goodput })
	row("messages/task", func(r *Report) any { return r.MessagesPerTask })
	row("wasted/task", func(r *Report) any { return r.WastedMessagesPerTask })
	row("idle messages/node/s", func(r *Report) any { return r.IdleMessagesPerNodeSecond })
	row("idle bytes/node/s", func(r *Report) any { return r.IdleBytesPerNodeSecond })
	row("refused", func(r *Report) any { return r.Refused })
	row("failed", func(r *Report) any { return r.Failed })
	row("outcome unknown", func(r *Report) any { return r.OutcomeUnknown })
	row("double starts", func(r *Report) any { return r.DoubleStarts })
	row("partial answers", func(r *Report) any { return r.PartialAnswers })
	row("lost results", func(r *Report) any { return r.LostResults })
	row("false not run", func(r *Report) any { return r.FalseNotRun })
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		if err := writeContracts(w, r); err != nil {
			return err
		}
	}
	return nil
}

func writeContracts(w io.Writer, r *Report) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tw, "\n%s\toffered\tcontracted\tserved\trefused\tp50\tp99\t\n", r.Policy)
	for _, c := range r.Contracts {
		fmt.Fprintf(tw, "%s\t%.3f\t%.3f\t%.3f\t%d\t%.3f\t%.3f\t\n", c.Contract, c.Offered, c.Contracted, c.Served, c.Refused, c.P50, c.P99)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, part := range []struct {
		name   string
		counts map[jobs.Code]int
	}{{"refused", r.RefusedByCode}, {"failed", r.FailedByCode}} {
		for _, code := range sortedCodes(part.counts) {
			if _, err := fmt.Fprintf(w, "%s %s: %d\n", part.name, code, part.counts[code]); err != nil {
				return err
			}
		}
	}
	return nil
}

func sortedCodes(m map[jobs.Code]int) []jobs.Code {
	var out []jobs.Code
	for c := range m {
		out = append(out, c)
	}
	slices.Sort(out)
	return out
}
