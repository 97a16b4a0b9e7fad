package timeline

import (
	_ "embed"
	"html/template"
	"io"

	"github.com/papayahoist/papayahoist/dispatch/event"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// Groups of event kinds. The page gives each a colour and a toggle.
const (
	groupJob       = "jobs"
	groupTask      = "tasks"
	groupCredit    = "credits"
	groupPeer      = "links and peers"
	groupWorker    = "workers"
	groupLifecycle = "configuration, store, process"
	groupOther     = "other"
)

// lane is the row of one process. Missing processes have a row too, so that missing
// data isn't mistaken for the absence of events.
type lane struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Label   string `json:"label"`
	Missing string `json:"missing,omitempty"`
}

// mark is an event in the form that the page's script reads.
type mark struct {
	// At is the time since the first event in milliseconds; the fraction gives the
	// order within a millisecond.
	At       float64 `json:"t"`
	Lane     int     `json:"l"`
	Kind     string  `json:"k"`
	Group    string  `json:"g"`
	Fault    bool    `json:"f,omitempty"`
	Job      string  `json:"j,omitempty"`
	Task     *uint32 `json:"n,omitempty"`
	Contract string  `json:"c,omitempty"`
	Peer     string  `json:"p,omitempty"`
	Value    string  `json:"v,omitempty"`
	Detail   string  `json:"d,omitempty"`
}

type pageData struct {
	Begin  int64    `json:"begin"` // Unix milliseconds
	Lanes  []lane   `json:"lanes"`
	Marks  []mark   `json:"marks"`
	Notes  []string `json:"notes"`
	Filter Filter   `json:"filter"`
}

// WritePage writes the time line as one self-contained HTML page, which needs no
// other file and no network.
func WritePage(w io.Writer, t *Timeline) error {
	return pageTemplate.Execute(w, pageOf(t))
}

func pageOf(t *Timeline) pageData {
	p := pageData{Filter: t.Filter, Marks: make([]mark, 0, len(t.Events)), Lanes: []lane{}}
	// The script reads the lists' lengths, so none of them may be null.
	p.Notes = append([]string{}, notes(t)...)
	index := p.addLanes(t)
	if len(t.Events) == 0 {
		return p
	}
	begin := t.Events[0].Time
	p.Begin = begin.UnixMilli()
	spread := newSpread(t.Events)
	for i, e := range t.Events {
		kind, _ := event.ParseKind(e.Kind)
		p.Marks = append(p.Marks, mark{
			At:       float64(e.Time.Sub(begin).Milliseconds()) + spread.fraction(i),
			Lane:     index[e.Process],
			Kind:     e.Kind,
			Group:    groupOf(kind),
			Fault:    isFault(kind),
			Job:      e.Job,
			Task:     e.Task,
			Contract: e.Contract,
			Peer:     e.Peer,
			Value:    valueText(e),
			Detail:   e.Detail,
		})
	}
	return p
}

// addLanes adds a lane for each process with events and for each missing one, and
// returns the index of each lane by process.
func (p *pageData) addLanes(t *Timeline) map[string]int {
	active := map[string]bool{}
	for _, e := range t.Events {
		active[e.Process] = true
	}
	index := map[string]int{}
	add := func(l lane) {
		index[l.Name] = len(p.Lanes)
		p.Lanes = append(p.Lanes, l)
	}
	for _, s := range t.Sources {
		if !active[s.Process] {
			continue
		}
		label := s.FailureDomain
		if s.Worker != "" {
			label = s.Worker + " · " + s.FailureDomain
		}
		add(lane{Name: s.Process, Role: s.Role, Label: label})
	}
	for _, m := range t.Missing {
		if _, known := index[m.Process]; !known {
			add(lane{Name: m.Process, Role: "missing", Label: m.Worker, Missing: m.Reason})
		}
	}
	return index
}

// spread distributes the events of one millisecond evenly over it, in their order.
type spread struct{ position, count []int }

func newSpread(events []Event) spread {
	s := spread{make([]int, len(events)), make([]int, len(events))}
	for begin := 0; begin < len(events); {
		end := begin
		for end < len(events) && events[end].Time.Equal(events[begin].Time) {
			end++
		}
		for i := begin; i < end; i++ {
			s.position[i], s.count[i] = i-begin, end-begin
		}
		begin = end
	}
	return s
}

func (s spread) fraction(i int) float64 {
	const thousandth = 1000
	return float64(s.position[i]*thousandth/s.count[i]) / thousandth
}

func groupOf(k event.Kind) string {
	switch {
	case k == event.Unspecified:
		return groupOther
	case k <= event.JobFenced:
		return groupJob
	case k <= event.CreditsLost:
		return groupCredit
	case k <= event.RecordsEvicted:
		return groupTask
	case k <= event.PeerGone:
		return groupPeer
	case k <= event.WorkerResumed:
		return groupWorker
	}
	return groupLifecycle
}

// isFault reports whether events of kind k indicate a fault.
func isFault(k event.Kind) bool {
	switch k {
	case event.JobRefused, event.JobFenced, event.CreditsLost, event.TaskResent, event.TaskDuplicate,
		event.TaskRefused, event.TaskUnknown, event.LinkDown, event.PeerSuspected, event.PeerGone,
		event.WorkerSuspended, event.ConfigStale, event.StoreLost, event.ClockRejected:
		return true
	}
	return false
}
