package entry

import (
	"context"
	"time"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/entry"
	"github.com/papayahoist/papayahoist/dispatch/job"
)

// route serves a request here when this entry is the job's home, and at the home
// otherwise. A home that does not reply leaves only recovery, which starts nothing
// and which agents that hear from the home refuse.
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
	ended := false
	if p := e.findPeer(parsed.Home.Incarnation); p != nil {
		rp, what := e.forward(ctx, p, rq)
		if what == homeReplied {
			return rp
		}
		ended = what == homeEnded
	}
	if rq.fetch || rq.cancel || len(rq.job.Tasks) == 0 {
		return reply{answer: entry.AskAgain(id, "the job's home does not reply; submitting the job again gathers its results"), known: true}
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

func (e *Entry) recover(ctx context.Context, rq request, homeEnded bool) reply {
	var w chan *pb.Answer
	name := job.Name(rq.contract, rq.job.Id)
	rp := reply{known: true}
	e.decide(func(now time.Time) {
		if rp.answer = e.core.Recover(now, rq.job, homeEnded); rp.answer == nil {
			w = e.wait(name)
		}
	})
	if w != nil {
		rp.answer = e.await(ctx, name, w, rq.wait)
	}
	return rp
}
