package dispatcher

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/node/clock"
)

// What entries tell each other grows with the square of their number, so it is kept
// small: one exchange for each pair, whichever of the two begins it; seldom among
// many; the list of entries only where the two differ; the configuration only to
// those that lack it.
const (
	// shareEvery is the time between two exchanges of a pair.
	shareEvery = 500 * time.Millisecond
	// sharesPerSecond bounds the exchanges that one entry takes part in, while
	// maxShareEvery allows: each takes a few tenths of a millisecond.
	sharesPerSecond = 40
	// maxShareEvery is below the time after which an entry counts as lost and a count
	// of waiting jobs as old.
	maxShareEvery = time.Second
	// secondPart is how much later the entry with the higher address begins the
	// exchange, if the other one has not.
	secondPart = 1.5
	// shareTimeout is a few round trips of the slowest link to another entry; a
	// connection that has gone silent is given up after it.
	shareTimeout = 400 * time.Millisecond
	// pushAfter is when an entry that has a new configuration tells those not known to
	// have it; up to as long again is added. The store tells each of them sooner.
	pushAfter = 100 * time.Millisecond
)

// sharePeriod is the time between two exchanges with each of so many others.
func sharePeriod(others int) time.Duration {
	wanted := time.Duration(float64(others) / sharesPerSecond * float64(time.Second))
	return min(max(wanted, shareEvery), maxShareEvery)
}

// untilShare is how long this entry leaves it to the other to begin the next
// exchange, when the last one was so long ago.
func untilShare(period, ago time.Duration, own, other string) time.Duration {
	if own > other {
		period = time.Duration(secondPart * float64(period))
	}
	return period - ago
}

// digest stands for a list of entries.
func digest(entries []string) uint64 {
	h := fnv.New64a()
	for _, e := range entries {
		_, _ = io.WriteString(h, e)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// exchange talks to one entry until it is forgotten.
func (p *peers) exchange(ctx context.Context, x *peer) {
	defer x.http.CloseIdleConnections()
	for ctx.Err() == nil && !p.forget(x) {
		period, wait := p.untilShare(x)
		if wait <= 0 {
			p.share(ctx, x)
			wait = period
		}
		select {
		case <-time.After(wait):
		case <-x.wake:
			p.share(ctx, x)
		case <-ctx.Done():
		}
	}
}

func (p *peers) untilShare(x *peer) (period, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	period = sharePeriod(len(p.all))
	if x.heard.IsZero() {
		return period, 0
	}
	return period, untilShare(period, clock.Now().Sub(x.heard), p.d.opts.Address, x.address)
}

// share makes one exchange, and a second one when the other shows that it lacks the
// configuration in force here.
func (p *peers) share(ctx context.Context, x *peer) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	theirs, ok := p.shareOnce(ctx, x, false)
	if ok && theirs < p.d.Configuration().GetVersion() {
		p.shareOnce(ctx, x, true)
	}
}

// shareOnce returns which version of the configuration the other goes by.
func (p *peers) shareOnce(ctx context.Context, x *peer, whole bool) (theirs uint64, ok bool) {
	c := p.d.Configuration()
	living := p.living()
	req := &pb.ShareRequest{
		Entry: p.d.opts.Core.Entry, Incarnation: p.d.opts.Core.Incarnation, Address: p.d.opts.Address,
		Version: c.GetVersion(), EntriesDigest: digest(living), Waiting: p.waitingMessage(),
	}
	if whole {
		req.Configuration = c
	}
	p.mu.Lock()
	req.Leaving = p.leaving
	if x.digest != req.EntriesDigest {
		req.Entries = living
	}
	p.mu.Unlock()
	resp, err := x.client.Share(ctx, connect.NewRequest(req))
	if err != nil {
		// The connection may have gone silent: the next exchange takes a new one.
		x.http.CloseIdleConnections()
		return 0, false
	}
	m := resp.Msg
	p.heard(x, told{m.Incarnation, m.Version, m.EntriesDigest, m.Waiting, m.Leaving})
	p.learn(m.Entries)
	if m.Configuration != nil {
		p.d.SetConfiguration(m.Configuration)
	}
	return m.Version, true
}

// told is what an entry says of itself in an exchange.
type told struct {
	incarnation string
	version     uint64
	digest      uint64
	waiting     []*pb.WaitingJobs
	leaving     bool
}

func (p *peers) heard(x *peer, t told) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !x.lives() || x.incarnation != t.incarnation {
		p.d.opts.Logger.Info("entry_found", "entry", x.address, "incarnation", t.incarnation, "version", t.version)
	}
	x.incarnation, x.heard, x.version, x.waiting, x.leaving = t.incarnation, clock.Now(), t.version, t.waiting, t.leaving
	x.digest = t.digest
}

// serve answers another entry's exchange.
func (p *peers) serve(req *pb.ShareRequest) *pb.ShareResponse {
	if req.Configuration != nil {
		p.d.SetConfiguration(req.Configuration)
	}
	p.learn(append(req.Entries, req.Address))
	p.mu.Lock()
	x := p.all[req.Address]
	p.mu.Unlock()
	if x != nil {
		p.heard(x, told{req.Incarnation, req.Version, req.EntriesDigest, req.Waiting, req.Leaving})
	}
	c := p.d.Configuration()
	living := p.living()
	resp := &pb.ShareResponse{
		Entry: p.d.opts.Core.Entry, Incarnation: p.d.opts.Core.Incarnation, Version: c.GetVersion(),
		EntriesDigest: digest(living), Waiting: p.waitingMessage(),
	}
	if req.EntriesDigest != resp.EntriesDigest {
		resp.Entries = living
	}
	if req.Version < c.GetVersion() {
		resp.Configuration = c
	}
	p.mu.Lock()
	resp.Leaving = p.leaving
	p.mu.Unlock()
	return resp
}

// push brings a new configuration to entries that the store has not told.
func (p *peers) push(version uint64) {
	time.AfterFunc(pushAfter+rand.N(pushAfter), func() {
		p.wake(func(x *peer) bool { return x.version < version })
	})
}

// wake exchanges at once with those chosen.
func (p *peers) wake(chosen func(x *peer) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.all {
		if !chosen(x) {
			continue
		}
		select {
		case x.wake <- struct{}{}:
		default:
		}
	}
}
