package dispatcher

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/tally"
	"github.com/papayahoist/papayahoist/node/clock"
)

// waiting counts the jobs that wait at other entries, by what they have told.
func (p *peers) waiting(queue string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tally.Others(clock.Now(), queue)
}

// countWaiting takes in how many jobs have waited here for a while.
func (p *peers) countWaiting(jobs map[string]int) {
	p.changeTally(func(now time.Time) { p.tally.SetOwn(now, jobs) })
}

// mergeWaiting takes in what others have told.
func (p *peers) mergeWaiting(records []*pb.WaitingRecord) {
	if len(records) == 0 {
		return
	}
	p.changeTally(func(now time.Time) { p.tally.Merge(now, fromWaiting(records)) })
}

// changeTally has the partners told when there is something new to tell.
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

// waitingRecords are what this entry tells. The lock is held.
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

func fromWaiting(records []*pb.WaitingRecord) []tally.Record {
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
