package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/rpc"
)

// route serves a request here when this entry is the job's home, and at the home
// otherwise. A home that has gone leaves only recovery, which starts nothing.
func (e *Entry) route(ctx context.Context, id string, rq request) reply {
	parsed, err := job.Parse(id)
	if err != nil {
		return reply{answer: refusal(id, jobs.CodeBadRequest, err.Error()), known: true}
	}
	if !parsed.HasHome() {
		return reply{answer: refusal(id, jobs.CodeBadRequest, "the id does not start with a home token"), known: true}
	}
	if parsed.Home.Incarnation == e.opts.Hello.Incarnation {
		return e.serveLocal(ctx, rq)
	}
	if p := e.findPeer(parsed.Home.Incarnation); p != nil {
		if rp, ok := e.forward(ctx, p, rq); ok {
			return rp
		}
	}
	if rq.fetch || rq.cancel || len(rq.job.Tasks) == 0 {
		return reply{}
	}
	return e.recover(ctx, rq)
}

func (e *Entry) findPeer(incarnation string) *pb.Peer {
	if e.members != nil {
		return e.members.Find(incarnation)
	}
	for _, p := range e.opts.Peers() {
		if p.Incarnation == incarnation {
			return p
		}
	}
	return nil
}

// forwardGrace is how much longer than the wait a forwarded request may take.
const forwardGrace = time.Second

func (e *Entry) forward(ctx context.Context, p *pb.Peer, rq request) (reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, rq.wait+forwardGrace)
	defer cancel()
	client := rpc.NewClient(e.opts.NodesTLS)
	defer client.CloseIdleConnections()
	now := time.Now()
	e.opts.Core.Events.Record(now, event.Event{
		Kind: event.JobForwarded, Job: rq.job.GetId(), Contract: rq.contract, Peer: p.Entry,
	})
	forward := &pb.ForwardRequest{
		Clock: e.opts.Core.Events.Stamp(now),
		Home:  p.Incarnation, Job: rq.job, Fetch: rq.fetch, Cancel: rq.cancel,
		Contract: rq.contract, WaitMs: uint32(rq.wait / time.Millisecond),
	}
	e.opts.Metrics.Message(metrics.MessageForward, metrics.Sent, proto.Size(forward))
	resp, err := papayahoistv1connect.NewEntryServiceClient(client, rpc.URL(p.Address, e.opts.NodesTLS)).Forward(ctx,
		connect.NewRequest(forward))
	if err != nil {
		return reply{}, false
	}
	e.opts.Core.Events.Observe(resp.Msg.Clock, time.Now())
	return reply{answer: resp.Msg.Answer, known: resp.Msg.Known}, true
}

func (e *Entry) recover(ctx context.Context, rq request) reply {
	var w chan *pb.Answer
	e.decide(func(now time.Time) {
		w = e.wait(rq.job.Id)
		if rq.job.TimeoutMs == 0 {
			if c := e.opts.Contract(rq.contract); c != nil {
				rq.job.TimeoutMs = c.DefaultTimeoutMs
			}
		}
		e.core.Recover(now, rq.job)
	})
	return reply{answer: e.await(ctx, rq.job.Id, w, rq.wait), known: true}
}
