package dispatcher

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/node/clock"
)

// waitingCounts are the jobs that wait at other entries, by queue, as they said when
// they were asked last. Who wants to know is rare, and the count changes with each job,
// so the others are asked then, in place of telling each other at every exchange.
type waitingCounts struct {
	asking sync.Mutex // one asks, the others use its answers

	mu    sync.Mutex
	at    time.Time
	queue map[string]int
}

// waiting counts the jobs that wait at other living entries, by what they said last.
func (p *peers) waiting(ctx context.Context, queue string) int {
	c := &p.counts
	c.asking.Lock()
	defer c.asking.Unlock()
	c.mu.Lock()
	fresh := !c.at.IsZero() && clock.Now().Sub(c.at) < waitingFor
	c.mu.Unlock()
	if !fresh {
		p.askWaiting(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue[queue]
}

func (p *peers) askWaiting(ctx context.Context) {
	c := &p.counts
	c.mu.Lock()
	c.queue = map[string]int{}
	c.mu.Unlock()
	p.ask(ctx, p.others(), func(ctx context.Context, x *peer) {
		resp, err := x.client.Share(ctx, connect.NewRequest(p.request(x, false)))
		if err != nil {
			p.d.opts.Logger.Warn("waiting_unanswered", "entry", x.address, "err", err)
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, w := range resp.Msg.Waiting {
			c.queue[w.Queue] += int(w.Jobs)
		}
	})
	c.mu.Lock()
	c.at = clock.Now()
	c.mu.Unlock()
}

func (p *peers) waitingMessage() []*pb.WaitingJobs {
	var out []*pb.WaitingJobs
	for queue, n := range p.d.waitingHere() {
		out = append(out, &pb.WaitingJobs{Queue: queue, Jobs: uint32(n)})
	}
	return out
}
