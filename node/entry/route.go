package entry

import (
	"context"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/job"
	"github.com/papayahoist/papayahoist/dispatch/keyhome"
)

// route serves a request locally if this entry is the job's home, and forwards it
// to the home otherwise. If the home does not reply, a submission is recovered:
// recovery starts no tasks, and agents that still receive frames from the home
// refuse it.
func (e *Entry) route(ctx context.Context, id string, rq request) reply {
	parsed, err := job.Parse(id)
	if err != nil {
		return reply{answer: refusal(id, jobs.CodeBadRequest, err.Error()), known: true}
	}
	if !parsed.HasHome() {
		return e.routeKey(ctx, rq)
	}
	if parsed.Home.Incarnation == e.opts.Hello.Incarnation {
		return e.serveLocal(ctx, rq)
	}
	ended := false
	if p := e.findPeer(parsed.Home.Incarnation); p != nil {
		rp, result := e.forward(ctx, p, rq)
		if result == homeReplied {
			return rp
		}
		ended = result == homeEnded
	}
	if rq.fetch || rq.cancel || len(rq.job.Tasks) == 0 {
		return reply{answer: entry.RetryLater(id, "the job's home does not reply; submit the job again to recover its results"), known: true}
	}
	return e.recover(ctx, rq, ended)
}

func (e *Entry) findPeer(incarnation string) *pb.Peer {
	if e.opts.FindPeer != nil {
		return e.opts.FindPeer(incarnation)
	}
	for _, p := range e.opts.Peers() {
		if p.Incarnation == incarnation {
			return p
		}
	}
	return nil
}

// routeKey serves a request whose id is a caller-made key, which names no home.
func (e *Entry) routeKey(ctx context.Context, rq request) reply {
	var verdict keyhome.Verdict
	var home string
	rq.job.Contract = rq.contract
	e.step(func(now time.Time) { verdict, home = e.core.KeyHome(now, rq.job) })
	switch verdict {
	case keyhome.Local:
		return e.serveLocal(ctx, rq)
	case keyhome.Remote:
		if p := e.findPeer(home); p != nil {
			if rp, result := e.forward(ctx, p, rq); result == homeReplied {
				return rp
			}
		}
	}
	return reply{answer: entry.KeyUnknown(rq.job.Id), known: true}
}

func (e *Entry) recover(ctx context.Context, rq request, homeEnded bool) reply {
	var w chan *pb.Answer
	name := job.Name(rq.contract, rq.job.Id)
	rp := reply{known: true}
	e.step(func(now time.Time) {
		if rp.answer = e.core.Recover(now, rq.job, homeEnded); rp.answer == nil {
			w = e.addWaiter(name)
		}
	})
	if w != nil {
		rp.answer = e.await(ctx, name, w, rq.wait)
	}
	return rp
}
