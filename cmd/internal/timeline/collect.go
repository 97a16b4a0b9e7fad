// Package timeline collects the events of all processes into one time line and
// writes it as text, as JSON, or as a self-contained HTML page.
package timeline

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/cmd/internal/fleet"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/hlc"
)

// Filter selects events; zero fields select all.
type Filter struct {
	Job      string `json:"job,omitempty"`
	Contract string `json:"contract,omitempty"`
	Worker   string `json:"worker,omitempty"`
	// From and Until bound the events' wall time, Until excluded.
	From  time.Time `json:"from,omitzero"`
	Until time.Time `json:"until,omitzero"`
	// Limit is the maximum number of events; the newest are kept.
	Limit int `json:"limit,omitempty"`
	// Around adds, to the events of one job, the concurrent events of the processes
	// involved in it: links, suspicions, drains, configuration.
	Around bool `json:"around,omitempty"`
}

// Source is a process that supplied events to a time line.
type Source struct {
	Process       string `json:"process"`
	Role          string `json:"role"`
	Worker        string `json:"worker,omitempty"`
	FailureDomain string `json:"failure_domain,omitempty"`
	Incarnation   string `json:"incarnation,omitempty"`
	// Events is the number of events that the process sent.
	Events int `json:"events"`
	// Overwritten is the number of events that the process has discarded since its
	// start, all older than Since.
	Overwritten uint64    `json:"overwritten,omitempty"`
	Since       time.Time `json:"since,omitzero"`
	// Limited is set if the process left out older matches because of the limit.
	Limited bool `json:"limited,omitempty"`
}

// Missing is a process whose events could not be retrieved.
type Missing struct {
	Process string `json:"process"`
	Worker  string `json:"worker,omitempty"`
	Address string `json:"address,omitempty"`
	Reason  string `json:"reason"`
}

// Event is one event of one process.
type Event struct {
	// Time is the wall time of the hybrid logical clock; Logical orders events
	// within a millisecond.
	Time     time.Time `json:"time"`
	Logical  uint16    `json:"logical,omitempty"`
	Process  string    `json:"process"`
	Kind     string    `json:"kind"`
	Job      string    `json:"job,omitempty"`
	Task     *uint32   `json:"task,omitempty"`
	Contract string    `json:"contract,omitempty"`
	Peer     string    `json:"peer,omitempty"`
	Value    uint64    `json:"value,omitempty"`
	Detail   string    `json:"detail,omitempty"`

	clock uint64
}

// Timeline holds the events of all processes that answered, in the order of the
// hybrid logical clock, and the processes that did not answer.
type Timeline struct {
	Filter  Filter    `json:"filter"`
	Sources []Source  `json:"sources"`
	Missing []Missing `json:"missing"`
	// Dropped is the number of older events removed here to meet the filter's limit.
	Dropped int     `json:"dropped,omitempty"`
	Events  []Event `json:"events"`
}

// DefaultLimit is the default maximum number of events in a time line.
const DefaultLimit = 10_000

// Collect requests the events that match the filter from every process of the
// fleet. Processes that don't answer are listed in Missing.
func Collect(ctx context.Context, f *fleet.Fleet, filter Filter) *Timeline {
	if filter.Limit <= 0 {
		filter.Limit = DefaultLimit
	}
	c := collection{ctx: ctx, fleet: f, timeline: &Timeline{Filter: filter, Missing: []Missing{}}}
	for _, failure := range f.Failures {
		if failure.Process.Address == "" || failure.Process.Name == "" {
			c.addMissing(failure)
		}
	}
	request := &pb.TimelineRequest{
		Job:      filter.Job,
		Contract: filter.Contract,
		Limit:    uint32(filter.Limit),
	}
	if filter.Worker != "" {
		request.Worker = f.AgentOf(filter.Worker)
	}
	if !filter.From.IsZero() {
		request.FromUnixMs = filter.From.UnixMilli()
	}
	if !filter.Until.IsZero() {
		request.UntilUnixMs = filter.Until.UnixMilli()
	}
	c.query(request, c.addAll)
	if filter.Around && filter.Job != "" && len(c.timeline.Events) > 0 {
		c.queryAround()
	}
	c.finish(filter.Limit)
	return c.timeline
}

type collection struct {
	ctx      context.Context
	fleet    *fleet.Fleet
	timeline *Timeline
	mu       sync.Mutex
}

func (c *collection) addMissing(f fleet.Failure) {
	c.timeline.Missing = append(c.timeline.Missing,
		Missing{Process: f.Process.Title(), Worker: f.Process.Worker, Address: f.Process.Address, Reason: f.Reason()})
}

// query sends the request to all processes in parallel and calls add with each
// result. Calls of add don't overlap.
func (c *collection) query(request *pb.TimelineRequest, add func(fleet.Process, *pb.TimelineResponse, error)) {
	c.fleet.Each(c.ctx, func(ctx context.Context, p fleet.Process, client fleet.Client) {
		response, err := client.Timeline(ctx, connect.NewRequest(request))
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil {
			add(p, nil, err)
			return
		}
		add(p, response.Msg, nil)
	})
}

func (c *collection) addAll(p fleet.Process, r *pb.TimelineResponse, err error) {
	if err != nil {
		c.addMissing(fleet.Failure{Process: p, Err: err})
		return
	}
	source := Source{
		Process:       r.Process,
		Role:          p.Role,
		Worker:        r.Worker,
		FailureDomain: p.FailureDomain,
		Incarnation:   r.Incarnation,
		Events:        len(r.Events),
		Overwritten:   r.Overwritten,
		Limited:       r.Limited,
	}
	if r.OldestClock > 0 {
		source.Since = hlc.Time(r.OldestClock).UTC()
	}
	c.timeline.Sources = append(c.timeline.Sources, source)
	for _, e := range r.Events {
		c.timeline.Events = append(c.timeline.Events, decode(e))
	}
}

// aroundWindow extends the time range of Filter.Around before the first and after
// the last event of the job.
const aroundWindow = time.Second

// queryAround adds the events without a job of the processes that were involved in
// the job.
func (c *collection) queryAround() {
	involved := map[string]bool{}
	first, last := c.timeline.Events[0].Time, c.timeline.Events[0].Time
	for _, e := range c.timeline.Events {
		involved[e.Process] = true
		if e.Peer != "" {
			involved[e.Peer] = true
		}
		if e.Time.Before(first) {
			first = e.Time
		}
		if e.Time.After(last) {
			last = e.Time
		}
	}
	request := &pb.TimelineRequest{
		FromUnixMs:  first.Add(-aroundWindow).UnixMilli(),
		UntilUnixMs: last.Add(aroundWindow).UnixMilli(),
	}
	c.query(request, func(_ fleet.Process, r *pb.TimelineResponse, err error) {
		if err != nil {
			return // listed in Missing by the first query, or terminated since
		}
		for _, e := range r.Events {
			if isRelated(e, involved) {
				c.timeline.Events = append(c.timeline.Events, decode(e))
			}
		}
	})
}

// isRelated reports whether an event has no job and is about the involved
// processes. Credit events are excluded: they are so frequent that they would hide
// the others.
func isRelated(e *pb.Event, involved map[string]bool) bool {
	kind, _ := event.ParseKind(e.Kind)
	if e.Job != "" || (kind >= event.CreditsGranted && kind <= event.CreditsReturned) {
		return false
	}
	return involved[e.Process] && (e.Peer == "" || involved[e.Peer])
}

func decode(e *pb.Event) Event {
	decoded := Event{
		Time:     hlc.Time(e.Clock).UTC(),
		Logical:  hlc.Logical(e.Clock),
		Process:  e.Process,
		Kind:     e.Kind,
		Job:      e.Job,
		Contract: e.Contract,
		Peer:     e.Peer,
		Value:    e.Value,
		Detail:   e.Detail,
		clock:    e.Clock,
	}
	if kind, ok := event.ParseKind(e.Kind); ok && kind.AboutTask() {
		decoded.Task = &e.Task
	}
	return decoded
}

// finish sorts the results, which arrived in any order, and applies the limit, so
// that the same responses always give the same time line.
func (c *collection) finish(limit int) {
	t := c.timeline
	slices.SortStableFunc(t.Events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.clock, b.clock), cmp.Compare(a.Process, b.Process))
	})
	if n := len(t.Events) - limit; n > 0 {
		t.Dropped = n
		t.Events = t.Events[n:]
	}
	slices.SortFunc(t.Sources, func(a, b Source) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), fleet.CompareNames(a.Process, b.Process))
	})
	slices.SortFunc(t.Missing, func(a, b Missing) int { return fleet.CompareNames(a.Process, b.Process) })
}
