package membership

import (
	"context"
	"strings"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/contract"
	"github.com/papayahoist/papayahoist/dispatch/member"
	"github.com/papayahoist/papayahoist/node/clock"
	"github.com/papayahoist/papayahoist/node/settings"
	"github.com/papayahoist/papayahoist/platform/retry"
	"github.com/papayahoist/papayahoist/platform/store"
	"google.golang.org/protobuf/encoding/protojson"
)

// Prefix is the prefix of all of this system's keys in the store. One watch covers it.
const Prefix = "papayahoist/"

// EntriesPrefix is the prefix of the entries' announcements, which are keyed by
// incarnation.
const EntriesPrefix = Prefix + "entries/"

// storeReader applies the contents of the store. It implements follow.Reader.
type storeReader Membership

// Snapshot implements follow.Reader.
func (r *storeReader) Snapshot(items []store.Item, revision store.Revision) {
	m := (*Membership)(r)
	var contracts []*pb.Contract
	var peers []*pb.Peer
	for _, item := range items {
		switch {
		case strings.HasPrefix(item.Key, contract.Prefix):
			contracts = m.appendContract(contracts, item)
		case strings.HasPrefix(item.Key, EntriesPrefix):
			peers = m.appendPeer(peers, item)
		}
	}
	m.opts.Config.Apply(contracts, 0, uint64(revision))
	m.followedRevision = revision
	m.update(func(now time.Time, s *member.Set) {
		s.ApplyList(now, peers)
		for _, p := range peers {
			m.checkSelf(p)
		}
	})
	m.setStoreReachable(true, nil)
}

// Changes implements follow.Reader. The removal of a contract's key is ignored: only a
// tombstone deletes a contract.
func (r *storeReader) Changes(events []store.Event) {
	m := (*Membership)(r)
	var contracts []*pb.Contract
	upTo := m.followedRevision
	for _, e := range events {
		upTo = e.Item.Revision
		switch {
		case strings.HasPrefix(e.Item.Key, contract.Prefix) && !e.Deleted:
			contracts = m.appendContract(contracts, e.Item)
		case strings.HasPrefix(e.Item.Key, EntriesPrefix):
			m.applyEntryEvent(e)
		}
	}
	m.opts.Config.Apply(contracts, uint64(m.followedRevision), uint64(upTo))
	m.followedRevision = upTo
	m.setStoreReachable(true, nil)
}

// Unreachable implements follow.Reader.
func (r *storeReader) Unreachable(err error) { (*Membership)(r).setStoreReachable(false, err) }

// Reachable implements follow.Reader.
func (r *storeReader) Reachable() { (*Membership)(r).setStoreReachable(true, nil) }

// appendContract appends the item's contract. An item that can't be decoded is ignored,
// so that the revision in force stays.
func (m *Membership) appendContract(to []*pb.Contract, item store.Item) []*pb.Contract {
	record, err := contract.Decode(item.Key, item.Value, uint64(item.Revision))
	if err != nil {
		m.log.Error("contract ignored", "revision", item.Revision, "err", err)
		return to
	}
	return append(to, record.Contract)
}

// appendPeer appends the peer that the item announces. One that isn't an entry's own announcement is
// ignored: entries would wait for it to give back its share of the contracts.
func (m *Membership) appendPeer(to []*pb.Peer, item store.Item) []*pb.Peer {
	p, err := decodePeer(item)
	if err != nil {
		m.log.Error("announcement ignored", "key", item.Key, "err", err)
		return to
	}
	return append(to, p)
}

// decodePeer returns the peer that an entry announces. An entry's key names its incarnation and has a
// lease, so that it goes with the process. Errors are of type ErrAnnouncement.
func decodePeer(item store.Item) (*pb.Peer, error) {
	var p pb.Peer
	if err := protojson.Unmarshal(item.Value, &p); err != nil {
		return nil, ErrAnnouncement.Wrap(err, "decode")
	}
	switch {
	case p.Incarnation != strings.TrimPrefix(item.Key, EntriesPrefix):
		return nil, ErrAnnouncement.New("the key is of another incarnation than %.80q", p.Incarnation)
	case item.Lease == 0:
		return nil, ErrAnnouncement.New("no lease")
	}
	if _, err := settings.ParseAddress(p.Address); err != nil {
		return nil, ErrAnnouncement.Wrap(err, "address")
	}
	return &p, nil
}

func (m *Membership) applyEntryEvent(e store.Event) {
	if e.Deleted {
		incarnation := strings.TrimPrefix(e.Item.Key, EntriesPrefix)
		m.update(func(now time.Time, s *member.Set) { s.Withdrawn(now, incarnation) })
		m.requestList()
		return
	}
	for _, p := range m.appendPeer(nil, e.Item) {
		m.update(func(now time.Time, s *member.Set) {
			s.Announced(now, p)
			m.checkSelf(p)
		})
	}
}

// checkSelf completes the discovery if p is this entry's own announcement: by then the
// store has shown all earlier ones. Of two entries that start together, at least one
// therefore knows the other.
func (m *Membership) checkSelf(p *pb.Peer) {
	if p.Incarnation == m.opts.Self.Incarnation {
		m.discovered = true
	}
}

// requestList makes announce read the list of entries again. One read serves all requests
// made until then.
func (m *Membership) requestList() {
	select {
	case m.listRequested <- struct{}{}:
	default:
	}
}

// Bounds of the backoff between attempts to announce. The upper one spreads the calls of
// all entries when the store returns after an outage.
const (
	minAnnounceBackoff = 500 * time.Millisecond
	maxAnnounceBackoff = 20 * time.Second
)

// announce keeps this entry's announcement in the store until the context is cancelled
// or the entry leaves.
func (m *Membership) announce(ctx context.Context) {
	a := announcement{m: m, key: EntriesPrefix + m.opts.Self.Incarnation}
	failures := 0
	for {
		wait := m.opts.LeaseTTL / 2
		wait = wait*9/10 + time.Duration(m.opts.Random()*float64(wait)/10)
		if err := a.renew(ctx); err != nil {
			failures++
			wait = retry.Backoff(minAnnounceBackoff, maxAnnounceBackoff, failures, m.opts.Random())
		} else {
			failures = 0
			m.renewed(ctx, a.renewal)
		}
		if !m.waitForRenewal(ctx, wait) {
			break
		}
	}
	if ctx.Err() == nil {
		a.withdraw(ctx)
	}
}

// waitForRenewal waits until the next renewal is due, and reads the list of entries on
// request. It returns false if the announcement must end.
func (m *Membership) waitForRenewal(ctx context.Context, wait time.Duration) bool {
	due := time.After(wait)
	for {
		select {
		case <-due:
			return true
		case <-m.listRequested:
			m.listEntries(ctx)
		case <-m.leave:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// renewal is when a call began that granted or renewed the lease. The lease is valid for at
// least its TTL from then on.
type renewal struct {
	at time.Time
	// boot is the same time by a clock that counts suspension, as the store does.
	boot time.Time
}

func beginRenewal() renewal { return renewal{at: time.Now(), boot: clock.Now()} }

// renewed reports a renewal of the announcement. A tenth of the lease is kept as a margin
// for clocks that run at different rates.
func (m *Membership) renewed(ctx context.Context, r renewal) {
	m.update(func(_ time.Time, s *member.Set) { s.LeaseRenewed(r.at) })
	if m.opts.OnAnnounced != nil && m.opts.OnAnnounced(r.boot.Add(m.opts.LeaseTTL*9/10)) {
		m.listEntries(ctx)
	}
}

// listEntries reads the store's list of entries and passes it to Options.OnListed.
func (m *Membership) listEntries(ctx context.Context) {
	if m.opts.OnListed == nil {
		return
	}
	readAt := time.Now()
	items, _, err := m.opts.Store.List(ctx, EntriesPrefix)
	if err != nil {
		m.log.Debug("entries not listed", "err", err)
		return
	}
	incarnations := make([]string, 0, len(items))
	for _, item := range items {
		incarnations = append(incarnations, strings.TrimPrefix(item.Key, EntriesPrefix))
	}
	m.opts.OnListed(readAt, incarnations)
}

// announcement is this entry's key in the store.
type announcement struct {
	m       *Membership
	key     string
	lease   store.LeaseID
	written bool
	renewal renewal
}

// renew renews the lease. If that has lapsed, it announces the entry again.
func (a *announcement) renew(ctx context.Context) error {
	if a.written {
		err := a.keepAlive(ctx)
		if !store.IsLeaseGone(err) {
			return err
		}
		a.lease, a.written = 0, false
	}
	if a.lease == 0 {
		began := beginRenewal()
		lease, err := a.m.opts.Store.Grant(ctx, a.m.opts.LeaseTTL)
		if err != nil {
			return err
		}
		a.lease, a.renewal = lease, began
	}
	return a.write(ctx)
}

func (a *announcement) keepAlive(ctx context.Context) error {
	began := beginRenewal()
	err := a.m.opts.Store.KeepAlive(ctx, a.lease)
	if err == nil {
		a.renewal = began
	}
	return err
}

func (a *announcement) write(ctx context.Context) error {
	value, err := protojson.Marshal(a.m.self.Load())
	if err != nil {
		return err
	}
	_, err = a.m.opts.Store.CompareAndSwap(ctx, a.key, 0, value, a.lease)
	switch {
	case err == nil:
		a.written = true
	case store.IsConflict(err):
		return a.adopt(ctx)
	case store.IsLeaseGone(err):
		a.lease = 0
	}
	return err
}

// adopt takes over a key written by a call of this process whose answer was lost. No
// other process writes a key named after this incarnation.
func (a *announcement) adopt(ctx context.Context) error {
	item, err := a.m.opts.Store.Get(ctx, a.key)
	if err != nil {
		return err
	}
	a.lease, a.written = item.Lease, true
	return a.keepAlive(ctx)
}

// withdraw ends the announcement. If that fails, the lease lapses by itself.
func (a *announcement) withdraw(ctx context.Context) {
	if a.lease != 0 {
		_ = a.m.opts.Store.Revoke(ctx, a.lease)
	}
}
