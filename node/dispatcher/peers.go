package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/api/papayahoistv1/papayahoistv1connect"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/rpc"
)

const (
	// peerLostAfter is how long an entry that does not answer counts as living.
	peerLostAfter = 2 * time.Second
	// peerForgottenAfter is how long it is asked again, unless it is a seed.
	peerForgottenAfter = time.Minute
)

// peer is another entry, by its address.
type peer struct {
	address string
	client  papayahoistv1connect.WorkServiceClient
	http    *http.Client
	wake    chan struct{}

	incarnation string
	heard       time.Time
	digest      uint64 // of the living entries that it has told
	since       time.Time
	version     uint64
	waiting     []*pb.WaitingJobs
	leaving     bool
}

// peers keeps the other entries and exchanges with them what each knows: the
// configuration in force, the entries that live, and how many jobs wait. An entry
// that the platform's store turns away keeps up this way.
type peers struct {
	d   *Dispatcher
	ctx context.Context

	mu      sync.Mutex
	all     map[string]*peer
	leaving bool
	told    []string // the living, as agents were last told
}

func newPeers(d *Dispatcher) *peers { return &peers{d: d, all: make(map[string]*peer)} }

// run learns the seeds and keeps the living entries told until the context ends.
func (p *peers) run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	p.learn(p.d.opts.Seeds)
	t := time.NewTicker(shareEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		p.tell()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// tell passes the living entries on to the core, for agents, when they change.
func (p *peers) tell() {
	living := p.living()
	p.mu.Lock()
	same := slices.Equal(living, p.told)
	p.told = living
	p.mu.Unlock()
	if !same {
		p.d.decide(func(time.Time) { p.d.core.SetEntries(living) })
	}
}

// living lists the entries known to live, this one included, in order.
func (p *peers) living() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []string{p.d.opts.Address}
	for _, x := range p.all {
		if x.lives() {
			out = append(out, x.address)
		}
	}
	slices.Sort(out)
	return out
}

func (x *peer) lives() bool { return !x.heard.IsZero() && clock.Now().Sub(x.heard) < peerLostAfter }

func (p *peers) learn(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx == nil {
		return
	}
	for _, address := range addresses {
		if address == "" || address == p.d.opts.Address || p.all[address] != nil {
			continue
		}
		client := rpc.NewClient(nil)
		x := &peer{
			address: address, http: client,
			client: papayahoistv1connect.NewWorkServiceClient(client, rpc.URL(address, nil), rpc.NoCompressionWanted),
			wake:   make(chan struct{}, 1), since: clock.Now(),
		}
		p.all[address] = x
		go p.exchange(p.ctx, x)
	}
}

func (p *peers) forget(x *peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := x.heard
	if last.IsZero() {
		last = x.since
	}
	if clock.Now().Sub(last) < peerForgottenAfter || slices.Contains(p.d.opts.Seeds, x.address) {
		return false
	}
	delete(p.all, x.address)
	return true
}

func (p *peers) waitingMessage() []*pb.WaitingJobs {
	var out []*pb.WaitingJobs
	for queue, n := range p.d.waitingHere() {
		out = append(out, &pb.WaitingJobs{Queue: queue, Jobs: uint32(n)})
	}
	return out
}

// waiting counts the jobs that wait at other living entries.
func (p *peers) waiting(queue string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, x := range p.all {
		if !x.lives() {
			continue
		}
		for _, w := range x.waiting {
			if w.Queue == queue {
				n += int(w.Jobs)
			}
		}
	}
	return n
}

func (p *peers) leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.wake(func(*peer) bool { return true })
}

// cancel asks every living entry to end a job.
func (p *peers) cancel(ctx context.Context, queue, id string) bool {
	p.mu.Lock()
	var ask []*peer
	for _, x := range p.all {
		if x.lives() {
			ask = append(ask, x)
		}
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	known := make(chan bool, len(ask))
	for _, x := range ask {
		go func() {
			resp, err := x.client.Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Queue: queue, Job: id}))
			if err != nil {
				p.d.opts.Logger.Warn("cancel_unanswered", "entry", x.address, "job", id, "err", err)
			}
			known <- err == nil && resp.Msg.Known
		}()
	}
	any := false
	for range ask {
		any = <-known || any
	}
	return any
}
