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

// Timeouts of a forwarded request. An unresponsive connection delays the caller by
// at most the sum of both before a new connection is tried.
const (
	// forwardPollTimeout is the maximum duration of one long poll at the job's home.
	forwardPollTimeout = 2 * time.Second
	// forwardReplyGrace is how long the home's reply may take beyond that.
	forwardReplyGrace = 500 * time.Millisecond
)

// Limits on the retries of all forwarded requests together. The rate bounds the
// additional messages that a network fault causes, however many requests it
// affects.
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

// forwardResult is the result of forwarding a request to a job's home.
type forwardResult uint8

const (
	// homeReplied means that the home has replied.
	homeReplied forwardResult = iota
	// homeEnded means that another process answers at the home's address.
	homeEnded
	// homeUnresponsive means that there was no reply; the home may still be running.
	homeUnresponsive
)

// forward serves a request at the job's home, in polls that are short enough to
// detect an unresponsive connection. Sending a request to the home again never
// starts a task twice.
func (e *Entry) forward(ctx context.Context, p *pb.Peer, rq request) (reply, forwardResult) {
	end := time.Now().Add(rq.wait)
	for attempts := 1; ; {
		poll := rq
		poll.wait = max(0, min(forwardPollTimeout, time.Until(end)))
		rp, err := e.forwardAttempt(ctx, p, poll)
		switch {
		case err == nil && (rp.answer != nil || !rp.known || !time.Now().Before(end)):
			return rp, homeReplied
		case err == nil:
			// The home has the job: further polls need only its id.
			rq.job, rq.fetch, rq.cancel = &pb.Job{Id: rq.job.Id}, true, false
			attempts = 1
			continue
		case connect.CodeOf(err) == connect.CodeFailedPrecondition:
			return reply{}, homeEnded
		}
		pause, again := e.forwardRetries.Next(time.Now(), attempts, rand.Float64())
		if !again || !sleep(ctx, pause) {
			return reply{}, homeUnresponsive
		}
		attempts++
	}
}

// sleep waits for d. It returns false if the context ends first.
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

func (e *Entry) forwardAttempt(ctx context.Context, p *pb.Peer, rq request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, rq.wait+forwardReplyGrace)
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
	e.opts.Metrics.CountMessage(metrics.MessageForward, metrics.Sent, proto.Size(m))
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
