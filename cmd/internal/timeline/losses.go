package timeline

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// late is the reason of a job that was completed after its latency objective.
const late = "late"

// answerLine holds the fields of a job_answered log line that the summary uses.
type answerLine struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	Queue     string    `json:"queue"`
	Outcome   string    `json:"outcome"`
	Reason    string    `json:"reason"`
	Elapsed   float64   `json:"elapsed_ms"`
	Objective float64   `json:"objective_ms"`
}

// loss returns the reason why the job counts as lost, or "" if it was completed
// within its objective.
func (l *answerLine) loss() string {
	switch {
	case l.Outcome != "completed":
		return l.Outcome + ": " + l.Reason
	case l.Objective > 0 && l.Elapsed > l.Objective:
		return late
	}
	return ""
}

// Loss counts the jobs of a queue that arrived within one second and were lost for one
// reason.
type Loss struct {
	Second time.Time `json:"second"`
	Queue  string    `json:"queue"`
	Reason string    `json:"reason"`
	Jobs   int       `json:"jobs"`
}

// Losses summarizes the answered jobs that were not completed within their latency
// objective. A job whose entry terminated before it answered has no log line and is
// not counted.
type Losses struct {
	Answered int            `json:"answered"`
	ByReason map[string]int `json:"by_reason"`
	ByQueue  map[string]int `json:"by_queue"`
	Rows     []Loss         `json:"rows"`
}

// ReadLosses summarizes the answers in the logs of the given processes, by name, that
// match the filter's contract and times.
func ReadLosses(readers map[string]io.Reader, f Filter) (*Losses, error) {
	out := &Losses{ByReason: make(map[string]int), ByQueue: make(map[string]int)}
	rows := make(map[Loss]int)
	for name, r := range readers {
		if err := eachLine(name, r, func(text string) { out.addLine(text, f, rows) }); err != nil {
			return nil, err
		}
	}
	for row, jobs := range rows {
		row.Jobs = jobs
		out.Rows = append(out.Rows, row)
	}
	slices.SortFunc(out.Rows, func(a, b Loss) int {
		return cmp.Or(a.Second.Compare(b.Second), strings.Compare(a.Queue, b.Queue), strings.Compare(a.Reason, b.Reason))
	})
	return out, nil
}

func (l *Losses) addLine(line string, f Filter, rows map[Loss]int) {
	var a answerLine
	i := strings.IndexByte(line, '{')
	if i < 0 || json.Unmarshal([]byte(line[i:]), &a) != nil || a.Message != "job_answered" {
		return
	}
	came := a.Time.Add(-time.Duration(a.Elapsed * float64(time.Millisecond)))
	if f.Contract != "" && a.Queue != f.Contract || !f.within(came) {
		return
	}
	l.Answered++
	reason := a.loss()
	if reason == "" {
		return
	}
	l.ByReason[reason]++
	l.ByQueue[a.Queue]++
	rows[Loss{Second: came.Truncate(time.Second), Queue: a.Queue, Reason: reason}]++
}

// WriteLosses writes the summary as text: by reason, by queue, and by second.
func WriteLosses(w io.Writer, l *Losses) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lost := 0
	for _, n := range l.ByReason {
		lost += n
	}
	fmt.Fprintf(t, "%d of %d jobs not completed within their objective\n\njobs\treason\n", lost, l.Answered)
	for _, reason := range byCount(l.ByReason) {
		fmt.Fprintf(t, "%d\t%s\n", l.ByReason[reason], reason)
	}
	fmt.Fprint(t, "\njobs\tqueue\n")
	for _, queue := range byCount(l.ByQueue) {
		fmt.Fprintf(t, "%d\t%s\n", l.ByQueue[queue], queue)
	}
	fmt.Fprint(t, "\nsecond\tqueue\tjobs\treason\n")
	for _, r := range l.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", r.Second.UTC().Format(time.TimeOnly), r.Queue, r.Jobs, r.Reason)
	}
	return t.Flush()
}

// byCount returns the keys in descending order of their counts.
func byCount(counts map[string]int) []string {
	keys := make([]string, 0, len(counts))
	for k := range counts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Or(counts[b]-counts[a], strings.Compare(a, b)) })
	return keys
}
