package timeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/papayahoist/papayahoist/dispatch/event"
)

// clockLayout formats wall time in milliseconds, the resolution of the clock.
const clockLayout = "15:04:05.000"

// WriteJSON writes the time line as one JSON object.
func WriteJSON(w io.Writer, t *Timeline) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(t)
}

// WriteText writes the time line as text, one event per line.
func WriteText(w io.Writer, t *Timeline) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, note := range notes(t) {
		_, _ = fmt.Fprintln(table, note) // Flush returns the first error
	}
	for i, e := range t.Events {
		if i == 0 || e.Time.YearDay() != t.Events[i-1].Time.YearDay() {
			_, _ = fmt.Fprintf(table, "%s UTC\n", e.Time.Format(time.DateOnly))
		}
		_, _ = fmt.Fprintf(table, "%s\t+%s\t%s\t%s\t%s\t%s\n", e.Time.Format(clockLayout),
			e.Time.Sub(t.Events[0].Time), e.Process, e.Kind, subject(t, e), remarks(e))
	}
	return table.Flush()
}

// notes returns lines that state what the time line lacks; they come before the
// events.
func notes(t *Timeline) []string {
	var lines []string
	for _, m := range t.Missing {
		lines = append(lines, fmt.Sprintf("MISSING  %s: %s", m.title(), m.Reason))
	}
	if t.Dropped > 0 {
		lines = append(lines, fmt.Sprintf("CUT      %d older events left out for the limit", t.Dropped))
	}
	if limited := limitedSources(t); len(limited) > 0 {
		lines = append(lines, "CUT      older events left out for the limit by "+strings.Join(limited, ", "))
	}
	for _, s := range t.Sources {
		if s.Overwritten > 0 && !s.Since.Before(t.Filter.From) {
			lines = append(lines, fmt.Sprintf("BEGINS   %s has no events from before %s (%d events overwritten)",
				s.Process, s.Since.Format(clockLayout), s.Overwritten))
		}
	}
	lines = append(lines, restarts(t)...)
	if len(t.Events) == 0 {
		lines = append(lines, fmt.Sprintf("no events match; %d processes answered", len(t.Sources)))
	}
	return lines
}

func limitedSources(t *Timeline) []string {
	var names []string
	for _, s := range t.Sources {
		if s.Limited {
			names = append(names, s.Process)
		}
	}
	return names
}

// restarts returns a note for each process that was a peer in an event before it
// started: the events of its earlier incarnation are lost.
func restarts(t *Timeline) []string {
	var lines []string
	met := map[string]bool{}
	for _, e := range t.Events {
		if e.Kind == event.ProcessStarted.String() && met[e.Process] {
			lines = append(lines, fmt.Sprintf("RESTART  %s started at %s; the events of its earlier incarnation are lost",
				e.Process, e.Time.Format(clockLayout)))
		}
		met[e.Peer] = true
	}
	return lines
}

// title returns the display name of a missing process.
func (m Missing) title() string {
	if m.Worker != "" && m.Worker != m.Process {
		return m.Process + " (worker " + m.Worker + ")"
	}
	return m.Process
}

// subject returns the job or task of an event. In the time line of a single job its
// ID is replaced by "job".
func subject(t *Timeline, e Event) string {
	job := e.Job
	if job != "" && job == t.Filter.Job {
		job = "job"
	}
	if e.Task != nil {
		return fmt.Sprintf("%s#%d", job, *e.Task)
	}
	return job
}

// remarks describes the remaining fields of an event.
func remarks(e Event) string {
	var words []string
	if e.Contract != "" {
		words = append(words, "contract "+e.Contract)
	}
	if e.Peer != "" {
		words = append(words, preposition(e.Kind)+" "+e.Peer)
	}
	if value := valueText(e); value != "" {
		words = append(words, value)
	}
	if e.Detail != "" {
		words = append(words, e.Detail)
	}
	return strings.Join(words, ", ")
}

// preposition returns "to" for kinds that are directed at the peer, else "with".
func preposition(kind string) string {
	switch k, _ := event.ParseKind(kind); k {
	case event.TaskDispatched, event.TaskResent, event.JobForwarded:
		return "to"
	}
	return "with"
}

func count(n uint64, unit string) string {
	if n == 1 {
		return "1 " + unit
	}
	return fmt.Sprintf("%d %ss", n, unit)
}

// valueText returns an event's value with its unit, or "" if it is zero.
func valueText(e Event) string {
	if e.Value == 0 {
		return ""
	}
	switch k, _ := event.ParseKind(e.Kind); k {
	case event.JobAccepted, event.JobJoined, event.JobFenced, event.PeerGone, event.JobCancelled:
		return count(e.Value, "task")
	case event.CreditsGranted, event.CreditsRecalled, event.CreditsReturned, event.CreditsLost:
		return count(e.Value, "credit")
	case event.RecordsEvicted:
		return count(e.Value, "record")
	case event.JobAnswered, event.TaskResult:
		return fmt.Sprintf("%d ms", e.Value)
	case event.ConfigInForce, event.ConfigStale:
		return fmt.Sprintf("revision %d", e.Value)
	case event.LinkUp, event.LinkDown, event.PeerSuspected:
		return fmt.Sprintf("epoch %d", e.Value)
	}
	return fmt.Sprint(e.Value)
}
