package agent

import (
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/event"
)

// recordPeer records an event about an entry.
func (a *Agent) recordPeer(now time.Time, kind event.Kind, p *peer, detail string, value uint64) {
	a.opts.Events.Record(now, event.Event{Kind: kind, Peer: p.hello.Entry, Detail: detail, Value: value})
}

// recordTask records an event about a task and the entry that sent it.
func (a *Agent) recordTask(now time.Time, kind event.Kind, p *peer, ref TaskRef, detail string) {
	a.opts.Events.Record(now, event.Event{
		Kind: kind, Job: ref.Job, Task: ref.Task, Contract: ref.Contract, Peer: p.hello.Entry, Detail: detail,
	})
}

// recordEnd records the end of a task at the endpoint. The peer of the event is the
// job's home, if the home is still known.
func (a *Agent) recordEnd(now time.Time, rec *record, res *pb.TaskResult) {
	ev := event.Event{
		Kind: event.TaskResult, Job: rec.id, Task: res.Task, Contract: rec.contract,
		Detail: resultText(res), Value: uint64(res.RunMillis),
	}
	if home := a.homeOf(rec); home != nil {
		ev.Peer = home.hello.Entry
	}
	a.opts.Events.Record(now, ev)
}

func resultText(res *pb.TaskResult) string {
	text := ""
	switch res.Outcome {
	case pb.Outcome_OUTCOME_COMPLETE:
		text = "complete"
	case pb.Outcome_OUTCOME_FAILED:
		text = "failed"
	case pb.Outcome_OUTCOME_NOT_RUN:
		text = "not run"
	case pb.Outcome_OUTCOME_UNKNOWN:
		text = "outcome unknown"
	}
	if res.Error == "" {
		return text
	}
	return text + ": " + res.Error
}

// recordFence records the report sent in answer to a fence.
func (a *Agent) recordFence(now time.Time, p *peer, report *pb.FenceReport) {
	detail := ""
	if report.Evicted {
		detail = "records dropped, more may have run here"
	}
	a.opts.Events.Record(now, event.Event{
		Kind: event.JobFenced, Job: report.Job, Peer: p.hello.Entry,
		Value: uint64(len(report.Results) + len(report.Running)), Detail: detail,
	})
}

// recordSent records the credits that a frame to an entry grants or recalls.
func (a *Agent) recordSent(now time.Time, p *peer, f *pb.AgentFrame) {
	if f.Granted > 0 {
		a.recordPeer(now, event.CreditsGranted, p, "", uint64(f.Granted))
	}
	if f.Recall > 0 {
		a.recordPeer(now, event.CreditsRecalled, p, "", uint64(f.Recall))
	}
}

// recordReceived records returned credits and a drain reported in a frame from an
// entry.
func (a *Agent) recordReceived(now time.Time, p *peer, f *pb.EntryFrame) {
	if f.Returned > 0 {
		a.recordPeer(now, event.CreditsReturned, p, "", uint64(f.Returned))
	}
	if f.Leaving && !p.leaving {
		a.recordPeer(now, event.DrainBegun, p, "the entry is leaving", 0)
	}
	p.leaving = f.Leaving
}
