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
	if got := c.Others(start, "q"); got != 5 {
		t.Errorf("%d jobs wait, want 5", got)
	}
	if got := b.Others(start, "q"); got != 3 {
		t.Errorf("%d jobs wait at others, want 3", got)
	}
	later := start.Add(100 * time.Millisecond)
	a.SetOwn(later, nil)
	c.Merge(later, a.Records(later))
	c.Merge(later, b.Records(later)) // which still has the earlier record
	if got := c.Others(later, "q"); got != 2 {
		t.Errorf("%d jobs wait after one entry's have begun, want 2", got)
	}
}

// An entry ends without a word. What it told last must not count for ever.
func TestCountsAreForgotten(t *testing.T) {
	a, b := New("a", 1), New("b", 1)
	a.SetOwn(start, map[string]int{"q": 3})
	b.Merge(start, a.Records(start))
	for at := start; at.Before(start.Add(3 * keepFor)); at = at.Add(renewEvery) {
		if got := b.Others(at, "q"); got != 3 {
			t.Fatalf("%d jobs wait after %v, while the entry tells of 3", got, at.Sub(start))
		}
		a.SetOwn(at.Add(renewEvery), map[string]int{"q": 3})
		b.Merge(at.Add(renewEvery), a.Records(at.Add(renewEvery)))
	}
	gone := start.Add(4 * keepFor)
	if got := b.Others(gone, "q"); got != 0 || len(b.Records(gone)) != 0 {
		t.Errorf("%d jobs wait at an entry that has ended", got)
	}
}

// A fleet at rest must not talk about waiting jobs.
func TestNothingIsToldAtRest(t *testing.T) {
	v := New("a", 1)
	for i := range 100 {
		v.SetOwn(start.Add(time.Duration(i)*time.Second), map[string]int{"q": 0})
	}
	if v.Changes() != 0 || len(v.Records(start.Add(100*time.Second))) != 0 {
		t.Errorf("%d changes, records %v", v.Changes(), v.Records(start))
	}
}

// What one frame tells is bounded, however many entries and queues there are.
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
	told := v.Records(start)
	if len(told) != maxRecords {
		t.Errorf("%d records", len(told))
	}
	for _, r := range told {
		if len(r.Counts) > maxQueues || r.jobs() < 9*maxRecords {
			t.Errorf("told %+v, which is not among the largest", r)
		}
	}
}
