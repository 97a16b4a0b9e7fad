package tally

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestCountsOfOthers(t *testing.T) {
	a, b, c := New("a", 1), New("b", 1), New("c", 1)
	a.SetOwn(start, map[string]int{"q": 3, "r": 0})
	b.SetOwn(start, map[string]int{"q": 2})
	b.Merge(start, a.Records(start))
	c.Merge(start, b.Records(start))
	if got := c.CountElsewhere(start, "q"); got != 5 {
		t.Errorf("%d jobs wait, want 5", got)
	}
	if got := b.CountElsewhere(start, "q"); got != 3 {
		t.Errorf("%d jobs wait at others, want 3", got)
	}
	later := start.Add(100 * time.Millisecond)
	a.SetOwn(later, nil)
	c.Merge(later, a.Records(later))
	c.Merge(later, b.Records(later)) // with the earlier record
	if got := c.CountElsewhere(later, "q"); got != 2 {
		t.Errorf("%d jobs wait after one entry's have begun, want 2", got)
	}
}

// An entry ends without notice. Its last record must expire.
func TestCountsExpire(t *testing.T) {
	a, b := New("a", 1), New("b", 1)
	a.SetOwn(start, map[string]int{"q": 3})
	b.Merge(start, a.Records(start))
	for at := start; at.Before(start.Add(3 * retention)); at = at.Add(renewInterval) {
		if got := b.CountElsewhere(at, "q"); got != 3 {
			t.Fatalf("%d jobs wait after %v, while the entry reports 3", got, at.Sub(start))
		}
		a.SetOwn(at.Add(renewInterval), map[string]int{"q": 3})
		b.Merge(at.Add(renewInterval), a.Records(at.Add(renewInterval)))
	}
	gone := start.Add(4 * retention)
	if got := b.CountElsewhere(gone, "q"); got != 0 || len(b.Records(gone)) != 0 {
		t.Errorf("%d jobs wait at an entry that has ended", got)
	}
}

// A fleet at rest must not send counts.
func TestNothingIsSentAtRest(t *testing.T) {
	v := New("a", 1)
	for i := range 100 {
		v.SetOwn(start.Add(time.Duration(i)*time.Second), map[string]int{"q": 0})
	}
	if v.Changes() != 0 || len(v.Records(start.Add(100*time.Second))) != 0 {
		t.Errorf("%d changes, records %v", v.Changes(), v.Records(start))
	}
}

// The size of one frame is bounded, however many entries and queues there are.
func TestRecordsAreBounded(t *testing.T) {
	v := New("a", 1)
	jobs := map[string]int{}
	for i := range 10 * maxQueues {
		jobs[fmt.Sprint("q", i)] = i
	}
	v.SetOwn(start, jobs)
	for i := range 10 * maxRecords {
		v.Merge(start, []Record{{Address: fmt.Sprint("e", i), Version: 1, Counts: []Count{{"q", i + 1}}}})
	}
	sent := v.Records(start)
	if len(sent) != maxRecords {
		t.Errorf("%d records", len(sent))
	}
	for _, r := range sent {
		if len(r.Counts) > maxQueues || r.jobs() < 9*maxRecords {
			t.Errorf("sent %+v, which is not among the largest", r)
		}
	}
}
