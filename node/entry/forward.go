package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/event"
	"github.com/papayahoist/papayahoist/node/metrics"
	"github.com/papayahoist/papayahoist/node/rpc"
	"github.com/papayahoist/papayahoist/platform/retry"
)

// Times of a forwarded request. A connection that has gone silent costs its
// caller at most forwardPoll and forwardSilence before a new one is tried.
const (
	// forwardPoll bounds one long poll at the home.
	forwardPoll = 2 * time.Second
	// forwardSilence is how long after that the home's reply may take.
	forwardSilence = 500 * time.Millisecond
)

// Retries of all forwarded requests together. What a fault of the network may
// add is bounded by the rate, however many requests it hits.
const (
	forwardRetriesPerSecond = 20
	forwardRetryBurst       = 50
	forwardAttempts         = 2
)

func newForwardRetries() *retry.Policy {
	return retry.New(retry.Options{
		Attempts: forwardAttempts, Base: 20 * time.Millisecond, Max: 200 * time.Millisecond,
		PerSecond: forwardRetriesPerSecond, Burst: forwardRetryBurst,
	})
}

// forwarded is what came of asking a job's home.
type forwarded uint8

const (
	// homeReplied: the reply is the home's.
	homeReplied forwarded = iota
	// homeEnded: another process answers at the home's address.
	homeEnded
	// homeSilent: no reply; the home may live.
	homeSilent
)

// forward serves a request at the job's home, in polls that are short enough to
// notice a silent connection. Asking the home again starts nothing twice.
func (e *Entry) forward(ctx context.Context, p *pb.Peer, rq request) (reply, forwarded) {
	end := time.Now().Add(rq.wait)
	for made := 1; ; {
		poll := rq
		poll.wait = max(0, min(forwardPoll, time.Until(end)))
		rp, err := e.forwardOnce(ctx, p, poll)
		switch {
		case err == nil && (rp.answer != nil || !rp.known || !time.Now().Before(end)):
			return rp, homeReplied
		case err == nil:
			// The home has the job; from here on its id is enough.
			rq.job, rq.fetch, rq.cancel = &pb.Job{Id: rq.job.Id}, true, false
			made = 1
			continue
		case connect.CodeOf(err) == connect.CodeFailedPrecondition:
			return reply{}, homeEnded
		}
		pause, again := e.forwardRetries.Next(time.Now(), made, rand.Float64())
		if !again || !sleep(ctx, pause) {
			return reply{}, homeSilent
		}
		made++
	}
}

// sleep returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Entry) forwardOnce(ctx context.Context, p *pb.Peer, rq request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, rq.wait+forwardSilence)
	defer cancel()
	now := time.Now()
	e.opts.Core.Events.Record(now, event.Event{
		Kind: event.JobForwarded, Job: rq.job.GetId(), Contract: rq.contract, Peer: p.Entry,
	})
	m := &pb.ForwardRequest{
		Clock: e.opts.Core.Events.Stamp(now),
		Home:  p.Incarnation, Job: rq.job, Fetch: rq.fetch, Cancel: rq.cancel,
		Contract: rq.contract, WaitMs: uint32(rq.wait / time.Millisecond),
	}
	e.opts.Metrics.Message(metrics.MessageForward, metrics.Sent, proto.Size(m))
	client := e.clients.Get(p.Address)
	service := papayahoistv1connect.NewEntryServiceClient(client, rpc.URL(p.Address, e.opts.NodesTLS))
	resp, err := service.Forward(ctx, connect.NewRequest(m))
	if err != nil {
		if connect.CodeOf(err) != connect.CodeFailedPrecondition {
			e.clients.Drop(p.Address, client)
		}
		return reply{}, err
	}
	e.opts.Core.Events.Observe(resp.Msg.Clock, time.Now())
	return reply{answer: resp.Msg.Answer, known: resp.Msg.Known}, nil
}
