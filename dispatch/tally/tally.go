// Package tally adds up how many jobs wait at the entries of a fleet. An entry whose jobs
// have waited for a while tells its partners (package gossip), and these tell theirs; who is
// asked for the count answers from what it holds. At rest nothing waits that long, and
// nothing travels.
//
// The count is that of a moment ago: SettleFor and the way to every entry together are less
// than the two seconds by which it may be old. The package does no I/O and reads no clock;
// callers serialize all calls.
package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// SettleFor is how long a job must have waited for others to be told of it. Most start
	// sooner, and telling would cost more than they do.
	SettleFor = 500 * time.Millisecond
	// keepFor is how long a record counts that isn't renewed: its entry may have ended.
	keepFor = 2 * time.Second
	// renewEvery is how often an entry tells counts that have not changed.
	renewEvery = keepFor / 2
	// maxRecords bounds the records told at a time: two kilobytes. With more, those with the
	// most jobs are told.
	maxRecords = 64
	// maxQueues bounds the queues of one record, likewise.
	maxQueues = 16
)

// Count is how many jobs of a queue wait.
type Count struct {
	Queue string
	Jobs  int
}

// Record is what one entry has told. Of two, the one with the higher version counts.
type Record struct {
	Address string
	// Version grows with each record of an address, also over processes.
	Version uint64
	Counts  []Count
}

func (r Record) jobs() (n int) {
	for _, c := range r.Counts {
		n += c.Jobs
	}
	return n
}

type held struct {
	Record
	at time.Time // when it came
}

// View is what one entry knows.
type View struct {
	own     held
	others  map[string]held
	changes uint64
}

// New returns the view of an entry. The version must be higher than those that an earlier
// process at the address has told: a time of day serves.
func New(address string, version uint64) *View {
	return &View{own: held{Record: Record{Address: address, Version: version}}, others: make(map[string]held)}
}

// Changes grows when there is something new to tell.
func (v *View) Changes() uint64 { return v.changes }

// SetOwn takes in how many jobs have waited here for SettleFor.
func (v *View) SetOwn(now time.Time, jobs map[string]int) {
	var counts []Count
	for _, queue := range slices.Sorted(maps.Keys(jobs)) {
		if jobs[queue] > 0 {
			counts = append(counts, Count{queue, jobs[queue]})
		}
	}
	if len(counts) > maxQueues {
		slices.SortStableFunc(counts, func(a, b Count) int { return cmp.Compare(b.Jobs, a.Jobs) })
		counts = counts[:maxQueues]
	}
	same := slices.Equal(counts, v.own.Counts)
	if same && (len(counts) == 0 || now.Sub(v.own.at) < renewEvery) {
		return
	}
	v.own.Version++
	v.own.Counts, v.own.at = counts, now
	v.changes++
}

// Merge takes in records of other entries.
func (v *View) Merge(now time.Time, records []Record) {
	for _, r := range records {
		if r.Address == "" || r.Address == v.own.Address || r.Version <= v.others[r.Address].Version {
			continue
		}
		v.others[r.Address] = held{r, now}
		v.changes++
	}
	v.forget(now)
}

func (v *View) forget(now time.Time) {
	maps.DeleteFunc(v.others, func(_ string, h held) bool { return now.Sub(h.at) >= keepFor })
}

// Records are those to tell others.
func (v *View) Records(now time.Time) []Record {
	v.forget(now)
	var out []Record
	if now.Sub(v.own.at) < keepFor {
		out = append(out, v.own.Record)
	}
	for _, address := range slices.Sorted(maps.Keys(v.others)) {
		out = append(out, v.others[address].Record)
	}
	if len(out) > maxRecords {
		slices.SortStableFunc(out, func(a, b Record) int { return cmp.Compare(b.jobs(), a.jobs()) })
		out = out[:maxRecords]
	}
	return out
}

// Others counts the jobs of a queue that wait at other entries.
func (v *View) Others(now time.Time, queue string) (n int) {
	v.forget(now)
	for _, h := range v.others {
		for _, c := range h.Counts {
			if c.Queue == queue {
				n += c.Jobs
			}
		}
	}
	return n
}
