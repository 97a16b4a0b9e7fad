package entry

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/proto"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/node/metrics"
)

// nodesHandler serves agents and other entries.
func (e *Entry) nodesHandler() http.Handler {
	r := chi.NewRouter()
	path, h := papayahoistv1connect.NewEntryServiceHandler(&nodesService{e: e}, connect.WithReadMaxBytes(2*jobs.MaxBody))
	r.Mount(path, h)
	return r
}

type nodesService struct {
	papayahoistv1connect.UnimplementedEntryServiceHandler
	e *Entry
}

// Announce handles an agent's request for links to it.
func (s *nodesService) Announce(_ context.Context, req *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
	m := req.Msg
	if m.Agent.GetAgent() == "" || m.Agent.GetIncarnation() == "" || m.Agent.GetAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, ErrStart.New("the announcement lacks the agent's name, incarnation or address"))
	}
	s.e.step(func(now time.Time) {
		s.e.opts.Core.Events.Observe(m.Clock, now)
		s.e.core.AgentAnnounced(now, m.Agent, m.Relink, m.Leaving)
	})
	resp := &pb.AnnounceResponse{
		Entry: s.e.opts.Hello, Peers: s.e.opts.Peers(), Clock: s.e.opts.Core.Events.Stamp(time.Now()),
	}
	s.e.opts.Metrics.CountMessage(metrics.MessageAnnounce, metrics.Received, proto.Size(m))
	s.e.opts.Metrics.CountMessage(metrics.MessageAnnounce, metrics.Sent, proto.Size(resp))
	return connect.NewResponse(resp), nil
}

// Forward serves a request that another entry received for a job whose home is this
// entry.
func (s *nodesService) Forward(ctx context.Context, req *connect.Request[pb.ForwardRequest]) (*connect.Response[pb.ForwardResponse], error) {
	m := req.Msg
	if m.Home != s.e.opts.Hello.Incarnation {
		return nil, connect.NewError(connect.CodeFailedPrecondition, ErrStart.New("the request is for another incarnation of the entry"))
	}
	s.e.opts.Core.Events.Observe(m.Clock, time.Now())
	r := s.e.serveLocal(ctx, request{
		job: m.Job, contract: m.Contract, fetch: m.Fetch, cancel: m.Cancel,
		wait: time.Duration(m.WaitMs) * time.Millisecond,
	})
	resp := &pb.ForwardResponse{Answer: r.answer, Known: r.known, Clock: s.e.opts.Core.Events.Stamp(time.Now())}
	s.e.opts.Metrics.CountMessage(metrics.MessageForward, metrics.Received, proto.Size(m))
	s.e.opts.Metrics.CountMessage(metrics.MessageForward, metrics.Sent, proto.Size(resp))
	return connect.NewResponse(resp), nil
}

// request is a caller's request about one job, whichever entry received it.
type request struct {
	job           *pb.Job
	contract      string
	fetch, cancel bool
	// fresh means that the id was generated for this request, so that no job has run
	// under it.
	fresh bool
	wait  time.Duration
}

// reply holds whether the job is known, and its answer once there is one.
type reply struct {
	answer *pb.Answer
	known  bool
}

// serveLocal serves a request for a job whose home is this entry. It waits for the
// answer for at most rq.wait.
func (e *Entry) serveLocal(ctx context.Context, rq request) reply {
	var rp reply
	var w chan *pb.Answer
	name := job.Name(rq.contract, rq.job.Id)
	e.step(func(now time.Time) {
		switch {
		case rq.cancel:
			rp.answer, rp.known = e.core.Cancel(now, rq.job.Id, rq.contract)
		case rq.fetch:
			rp.answer, rp.known = e.core.Fetch(rq.job.Id, rq.contract)
		default:
			_, existed := e.core.Fetch(rq.job.Id, rq.job.Contract)
			var admission entry.Admission
			admission, rp.answer = e.core.Submit(now, rq.job)
			rp.known = true
			if !existed {
				e.countSubmission(rq.job.Contract, rp.answer)
			}
			if admission != entry.Answered {
				rp.answer = nil
			}
		}
		if rp.known && rp.answer == nil {
			w = e.addWaiter(name)
		}
	})
	if w != nil {
		rp.answer = e.await(ctx, name, w, rq.wait)
	}
	return rp
}

func (e *Entry) await(ctx context.Context, name string, w chan *pb.Answer, limit time.Duration) *pb.Answer {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case a := <-w:
		return a
	case <-t.C:
	case <-ctx.Done():
	}
	e.removeWaiter(name, w)
	select {
	case a := <-w:
		return a
	default:
		return nil
	}
}
