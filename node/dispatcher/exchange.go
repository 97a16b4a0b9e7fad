package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/gossip"
	"github.com/papayahoist/papayahoist/node/clock"
)

// What entries tell each other must not grow with their number, so it is kept small: an
// entry exchanges with its partners only (package gossip); one exchange for each pair,
// whichever of the two begins it; what is known of the entries only where the two differ;
// the configuration only to those that lack it.
const (
	// shareEvery is the time between two exchanges of a pair.
	shareEvery = 500 * time.Millisecond
	// sharesPerSecond bounds the exchanges that one entry takes part in, while
	// maxShareEvery allows: each takes a few tenths of a millisecond.
	sharesPerSecond = 12
	// maxShareEvery is below the time after which an entry counts as lost.
	maxShareEvery = gossip.LostAfter / 2
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

// sharePeriod is the time between two exchanges with each of so many partners.
func sharePeriod(partners int) time.Duration {
	wanted := time.Duration(float64(partners) / sharesPerSecond * float64(time.Second))
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

// exchange talks to one entry, while it is a partner, until it is forgotten.
func (p *peers) exchange(ctx context.Context, x *peer) {
	defer x.http.CloseIdleConnections()
	for ctx.Err() == nil && !p.forget(x) {
		period, wait, partner := p.untilShare(x)
		if !partner {
			x.http.CloseIdleConnections()
			select {
			case <-x.wake:
			case <-ctx.Done():
			}
			continue
		}
		if wait <= 0 {
			p.share(ctx, x)
			wait = period
		}
		select {
		case <-time.After(wait):
		case <-x.wake:
			if p.behind(x) {
				p.share(ctx, x)
			}
		case <-ctx.Done():
		}
	}
}

// untilShare is the time between two exchanges with an entry, and until the next one.
func (p *peers) untilShare(x *peer) (period, wait time.Duration, partner bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.view.Partner(x.address) {
		return 0, 0, false
	}
	period = sharePeriod(p.view.Partners())
	if x.heard.IsZero() {
		return period, 0, true
	}
	return period, untilShare(period, clock.Now().Sub(x.heard), p.d.opts.Address, x.address), true
}

// behind reports whether another entry is not known to have what this one has.
func (p *peers) behind(x *peer) bool {
	own := p.inForce()
	p.mu.Lock()
	defer p.mu.Unlock()
	return own.newerThan(x) || p.leaving || x.heard.IsZero() || p.tallyNewFor(x)
}

// inForce is what this entry goes by, of all that operators write.
type inForce struct{ version, evacuations uint64 }

func (p *peers) inForce() inForce {
	return inForce{p.d.Configuration().GetVersion(), p.d.Evacuations().GetRevision()}
}

func (f inForce) newerThan(x *peer) bool {
	return x.version < f.version || x.evacuations < f.evacuations
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

// request is what this entry tells another one.
func (p *peers) request(x *peer, whole bool) *pb.ShareRequest {
	c := p.d.Configuration()
	req := &pb.ShareRequest{
		Entry: p.d.opts.Core.Entry, Incarnation: p.d.opts.Core.Incarnation, Address: p.d.opts.Address, Version: c.GetVersion(),
		Evacuations: p.d.Evacuations(),
	}
	if whole {
		req.Configuration = c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	req.Leaving, req.EntriesDigest = p.leaving, p.view.Digest()
	req.WaitingRecords, x.tally = p.waitingRecords(), p.tally.Changes()
	if x.digest != req.EntriesDigest {
		req.Records = p.records()
	}
	return req
}

// shareOnce returns which version of the configuration the other goes by.
func (p *peers) shareOnce(ctx context.Context, x *peer, whole bool) (theirs uint64, ok bool) {
	p.d.opts.OnExchange()
	resp, err := x.client.Share(ctx, connect.NewRequest(p.request(x, whole)))
	if err != nil {
		// The connection may have gone silent: the next exchange takes a new one.
		x.http.CloseIdleConnections()
		return 0, false
	}
	m := resp.Msg
	p.heard(x, told{m.Incarnation, m.Version, m.EntriesDigest, m.Entries, m.Records, m.Evacuations.GetRevision()})
	// Before a configuration that comes with it: an entry that takes jobs knows both.
	p.d.SetEvacuations(m.Evacuations)
	p.mergeWaiting(m.WaitingRecords)
	if m.Configuration != nil {
		p.d.SetConfiguration(m.Configuration)
	}
	return m.Version, true
}

// told is what an entry says of itself and others in an exchange.
type told struct {
	incarnation string
	version     uint64
	digest      uint64
	entries     []string
	records     []*pb.EntryRecord
	evacuations uint64 // their revision
}

func (p *peers) heard(x *peer, t told) {
	p.do(func(now time.Time) {
		if !p.view.Lives(x.address) || x.incarnation != t.incarnation {
			p.d.opts.Logger.Info("entry_found", "entry", x.address, "incarnation", t.incarnation, "version", t.version)
		}
		x.incarnation, x.heard, x.digest = t.incarnation, now, t.digest
		x.version, x.evacuations = t.version, t.evacuations
		p.view.Heard(now, x.address)
		if len(t.records) == 0 {
			// An entry of an earlier version tells addresses only.
			p.view.Learn(now, t.entries)
			for _, a := range t.entries {
				p.add(a)
			}
		}
		p.view.Merge(now, fromMessages(t.records))
	})
}

// records are the view's, as a message. The lock is held.
func (p *peers) records() []*pb.EntryRecord {
	var out []*pb.EntryRecord
	for _, r := range p.view.Records() {
		out = append(out, &pb.EntryRecord{Address: r.Address, Generation: r.Generation, Lost: r.Lost})
	}
	return out
}

func fromMessages(records []*pb.EntryRecord) []gossip.Record {
	var out []gossip.Record
	for _, r := range records {
		out = append(out, gossip.Record{Address: r.Address, Generation: r.Generation, Lost: r.Lost})
	}
	return out
}

// serve answers another entry's exchange.
func (p *peers) serve(req *pb.ShareRequest) *pb.ShareResponse {
	p.d.SetEvacuations(req.Evacuations)
	p.mergeWaiting(req.WaitingRecords)
	if req.Configuration != nil {
		p.d.SetConfiguration(req.Configuration)
	}
	p.learn([]string{req.Address})
	p.mu.Lock()
	x := p.all[req.Address]
	p.mu.Unlock()
	if x != nil {
		p.heard(x, told{req.Incarnation, req.Version, req.EntriesDigest, req.Entries, req.Records, req.Evacuations.GetRevision()})
	}
	c := p.d.Configuration()
	resp := &pb.ShareResponse{
		Entry: p.d.opts.Core.Entry, Incarnation: p.d.opts.Core.Incarnation, Version: c.GetVersion(),
		Evacuations: p.d.Evacuations(),
	}
	if req.Version < c.GetVersion() {
		resp.Configuration = c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	resp.Leaving, resp.EntriesDigest = p.leaving, p.view.Digest()
	resp.WaitingRecords = p.waitingRecords()
	if x != nil {
		x.tally = p.tally.Changes()
	}
	if req.EntriesDigest != resp.EntriesDigest {
		resp.Records = p.records()
	}
	return resp
}

// push brings what operators have changed, and counts of waiting jobs, to partners not known
// to have them; from these it goes on to theirs.
func (p *peers) push() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pushing {
		return
	}
	p.pushing = true
	time.AfterFunc(pushAfter+rand.N(pushAfter), func() {
		p.mu.Lock()
		p.pushing = false
		p.mu.Unlock()
		own := p.inForce()
		p.wakePartners(func(x *peer) bool { return own.newerThan(x) || p.tallyNewFor(x) })
	})
}

// tallyNewFor reports whether another entry has not been told the counts that this one
// holds. The lock is held.
func (p *peers) tallyNewFor(x *peer) bool { return x.tally != p.tally.Changes() }

// wakePartners exchanges at once with those chosen.
func (p *peers) wakePartners(chosen func(x *peer) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.all {
		if p.view.Partner(x.address) && chosen(x) {
			x.signal()
		}
	}
}
