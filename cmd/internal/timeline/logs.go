package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// logLine holds the fields of a log line that the time line uses.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Process string    `json:"process"`
	Job     string    `json:"job"`
	Task    string    `json:"task"`
	Run     uint32    `json:"run"`
	Queue   string    `json:"queue"`
	Agent   string    `json:"agent"`
	Entry   string    `json:"entry"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`
	Age     float64   `json:"age_ms"`
	Elapsed float64   `json:"elapsed_ms"`
}

// ReadLogs builds a time line from the logs of the given processes, by name, ordered
// by their wall clocks. Text before a line's first brace is skipped, since log
// collectors prepend their own fields. Lines that can't be parsed are counted in
// Missing.
func ReadLogs(readers map[string]io.Reader, filter Filter) (*Timeline, error) {
	t := &Timeline{Filter: filter}
	for name, r := range readers {
		unread := 0
		err := eachLine(name, r, func(text string) {
			l, ok := parseLogLine(text)
			if !ok {
				unread++
				return
			}
			if l.matches(filter) {
				t.Events = append(t.Events, l.event())
			}
		})
		if err != nil {
			return nil, err
		}
		if unread > 0 {
			t.Missing = append(t.Missing, Missing{Address: name, Reason: fmt.Sprintf("%d lines can't be read", unread)})
		}
	}
	slices.SortStableFunc(t.Events, func(a, b Event) int { return a.Time.Compare(b.Time) })
	if over := len(t.Events) - filter.Limit; filter.Limit > 0 && over > 0 {
		t.Dropped, t.Events = over, t.Events[over:]
	}
	return t, nil
}

// eachLine calls take for each line of one process's log. Errors name the process.
func eachLine(name string, r io.Reader, take func(text string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		take(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func parseLogLine(text string) (l logLine, ok bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 || json.Unmarshal([]byte(text[i:]), &l) != nil || l.Message == "" {
		return l, false
	}
	if l.Job == "" {
		l.Job, _, _ = strings.Cut(l.Task, ".")
	}
	return l, true
}

func (l *logLine) matches(f Filter) bool {
	switch {
	case f.Job != "" && l.Job != f.Job, f.Contract != "" && l.Queue != f.Contract, f.Worker != "" && l.Process != f.Worker && l.Agent != f.Worker:
		return false
	}
	return f.within(l.Time)
}

// within reports whether t is in the filter's time range.
func (f Filter) within(t time.Time) bool {
	return !t.Before(f.From) && (f.Until.IsZero() || t.Before(f.Until))
}

func (l *logLine) event() Event {
	e := Event{Time: l.Time, Process: l.Process, Kind: l.Message, Job: l.Job, Contract: l.Queue, Peer: l.Agent + l.Entry}
	if i := strings.LastIndexByte(l.Task, '.'); i >= 0 {
		if n, err := strconv.ParseUint(l.Task[i+1:], 10, 32); err == nil {
			number := uint32(n)
			e.Task = &number
		}
	}
	var words []string
	if l.Run > 0 {
		words = append(words, fmt.Sprintf("run %d", l.Run))
	}
	for _, w := range []string{l.Outcome, l.Reason} {
		if w != "" {
			words = append(words, w)
		}
	}
	if l.Elapsed > 0 {
		words = append(words, fmt.Sprintf("after %g ms", l.Elapsed))
	}
	if l.Age > 0 {
		words = append(words, fmt.Sprintf("known for %g ms", l.Age))
	}
	e.Detail = strings.Join(words, ", ")
	return e
}
