// Package tally counts the jobs that wait at the entries of a fleet. An entry whose jobs have
// waited for a while sends their number to its peers (package gossip), which pass it on. Each
// entry answers a request for the count from its own view. At rest no job waits that long, and
// nothing is sent.
//
// The count is eventually consistent: MinWait and the propagation to all entries together
// take less than the two seconds by which it may be old. The package does no I/O and reads no
// clock; callers must serialize all calls.
package tally

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MinWait is how long a job must have waited to be counted. Most jobs start sooner, and
	// reporting them would cost more than they do.
	MinWait = 500 * time.Millisecond
	// retention is how long a record counts that isn't renewed: its entry may have ended.
	retention = 2 * time.Second
	// renewInterval is how often an entry sends counts that have not changed.
	renewInterval = retention / 2
	// maxRecords limits the records sent at a time, to two kilobytes. If there are more, those
	// with the most jobs are sent.
	maxRecords = 64
	// maxQueues limits the queues of one record in the same way.
	maxQueues = 16
)

// Count is the number of waiting jobs of a queue.
type Count struct {
	Queue string
	Jobs  int
}

// Record is the counts of one entry. Of two records, the one with the higher version applies.
type Record struct {
	Address string
	// Version grows with each record of an address, also across processes.
	Version uint64
	Counts  []Count
}

func (r Record) jobs() (n int) {
	for _, c := range r.Counts {
		n += c.Jobs
	}
	return n
}

type receivedRecord struct {
	Record
	at time.Time // when it was received
}

// View is one entry's view of all entries.
type View struct {
	own     receivedRecord
	others  map[string]receivedRecord
	changes uint64
}

// New returns the view of an entry. The version must be higher than those that earlier
// processes at the address have sent; the time of day will do.
func New(address string, version uint64) *View {
	return &View{own: receivedRecord{Record: Record{Address: address, Version: version}}, others: make(map[string]receivedRecord)}
}

// Changes returns a number that grows when there is something new to send.
func (v *View) Changes() uint64 { return v.changes }

// SetOwn sets how many jobs have waited at this entry for MinWait, by queue.
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
	if same && (len(counts) == 0 || now.Sub(v.own.at) < renewInterval) {
		return
	}
	v.own.Version++
	v.own.Counts, v.own.at = counts, now
	v.changes++
}

// Merge applies records of other entries.
func (v *View) Merge(now time.Time, records []Record) {
	for _, r := range records {
		if r.Address == "" || r.Address == v.own.Address || r.Version <= v.others[r.Address].Version {
			continue
		}
		v.others[r.Address] = receivedRecord{r, now}
		v.changes++
	}
	v.forget(now)
}

func (v *View) forget(now time.Time) {
	maps.DeleteFunc(v.others, func(_ string, h receivedRecord) bool { return now.Sub(h.at) >= retention })
}

// Records returns the records to send to other entries.
func (v *View) Records(now time.Time) []Record {
	v.forget(now)
	var out []Record
	if now.Sub(v.own.at) < retention {
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

// CountElsewhere returns the number of jobs of a queue that wait at other entries.
func (v *View) CountElsewhere(now time.Time, queue string) (n int) {
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
