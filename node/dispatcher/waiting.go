package dispatcher

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/tally"
	"github.com/papayahoist/papayahoist/node/clock"
)

// waiting returns the number of a queue's jobs that wait at other entries, as they have
// reported.
func (p *peers) waiting(queue string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tally.CountElsewhere(clock.Now(), queue)
}

// countWaiting records, by queue, how many jobs have waited here for the minimum time.
func (p *peers) countWaiting(jobs map[string]int) {
	p.changeTally(func(now time.Time) { p.tally.SetOwn(now, jobs) })
}

// mergeWaiting merges the records received from another entry.
func (p *peers) mergeWaiting(records []*pb.WaitingRecord) {
	if len(records) == 0 {
		return
	}
	p.changeTally(func(now time.Time) { p.tally.Merge(now, waitingFromMessages(records)) })
}

// changeTally calls change, and notifies the partners if the tally has changed.
func (p *peers) changeTally(change func(now time.Time)) {
	p.mu.Lock()
	before := p.tally.Changes()
	change(clock.Now())
	changed := p.tally.Changes() != before
	p.mu.Unlock()
	if changed {
		p.push()
	}
}

// waitingRecords returns the tally's records as messages. The caller holds p.mu.
func (p *peers) waitingRecords() []*pb.WaitingRecord {
	var out []*pb.WaitingRecord
	for _, r := range p.tally.Records(clock.Now()) {
		m := &pb.WaitingRecord{Address: r.Address, Version: r.Version}
		for _, c := range r.Counts {
			m.Waiting = append(m.Waiting, &pb.WaitingJobs{Queue: c.Queue, Jobs: uint32(c.Jobs)})
		}
		out = append(out, m)
	}
	return out
}

func waitingFromMessages(records []*pb.WaitingRecord) []tally.Record {
	var out []tally.Record
	for _, m := range records {
		r := tally.Record{Address: m.Address, Version: m.Version}
		for _, w := range m.Waiting {
			r.Counts = append(r.Counts, tally.Count{Queue: w.Queue, Jobs: int(w.Jobs)})
		}
		out = append(out, r)
	}
	return out
}
