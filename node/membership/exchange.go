package membership

import (
	"cmp"
	"context"
	"sync"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"github.com/papayahoist/papayahoist/dispatch/member"
)

// maxContractsPerMessage bounds the contracts in one message. An entry that lacks more
// requests them in further exchanges.
const maxContractsPerMessage = 200

// stateFor returns the state to send to the entry with incarnation to, empty if that is
// not known. It includes contracts changed after revision covered.
func (m *Membership) stateFor(to string, covered uint64) *pb.PeerState {
	contracts, upTo := m.opts.Config.Snapshot().Since(covered, maxContractsPerMessage)
	state := &pb.PeerState{Self: m.self.Load(), Peers: m.Peers(), Contracts: contracts, ConfigSince: covered, ConfigRevision: upTo}
	if m.opts.ExtendState != nil {
		m.opts.ExtendState(to, state)
	}
	return state
}

// Serve applies the state of another entry that began an exchange, and returns the
// answer.
func (m *Membership) Serve(state *pb.PeerState) *pb.PeerState {
	m.applyState("", state)
	return m.stateFor(state.GetSelf().GetIncarnation(), state.ConfigRevision)
}

// applyState applies the state of another entry. Target is the incarnation that the
// exchange was meant for, empty if that is not known.
func (m *Membership) applyState(target string, state *pb.PeerState) {
	m.opts.Config.Apply(state.Contracts, state.ConfigSince, state.ConfigRevision)
	m.update(func(now time.Time, s *member.Set) {
		s.ReceiveState(now, target, state)
		// Without the store, one member suffices, since it names the others.
		m.discovered = m.discovered || (!m.storeReachable && len(s.Members()) > 0)
	})
	if m.opts.OnState != nil {
		m.opts.OnState(state)
	}
}

// runExchanges begins exchanges as they become due until the context is cancelled.
func (m *Membership) runExchanges(ctx context.Context, wg *sync.WaitGroup) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.wake:
		case <-m.exchangeRequested:
			m.exchangeAll(ctx, wg)
		}
		for _, a := range m.dueExchanges(timer) {
			wg.Go(func() { m.exchange(ctx, a) })
		}
		m.notifyStarters()
	}
}

// ExchangeNow begins an exchange with every member, in addition to the regular ones. It
// does not block.
func (m *Membership) ExchangeNow() {
	select {
	case m.exchangeRequested <- struct{}{}:
	default:
	}
}

func (m *Membership) exchangeAll(ctx context.Context, wg *sync.WaitGroup) {
	for _, p := range m.Peers()[1:] {
		wg.Go(func() { m.exchange(ctx, member.ExchangeRequest{Address: p.Address, Incarnation: p.Incarnation}) })
	}
}

func (m *Membership) notifyStarters() {
	if m.opts.OnStarters == nil {
		return
	}
	m.mu.Lock()
	now := time.Now()
	starters := m.set.PossibleStarters(now)
	fenced := !m.discovered || m.set.Fenced(now)
	m.mu.Unlock()
	m.opts.OnStarters(starters, fenced)
}

// dueExchanges returns the exchanges that are due, and resets the timer to the next one.
func (m *Membership) dueExchanges(timer *time.Timer) []member.ExchangeRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	due := m.set.Tick(now)
	m.publish()
	if next := m.set.Next(); !next.IsZero() {
		timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
	return due
}

// exchange makes one exchange, and repeats it while the other entry has more
// contracts to send.
func (m *Membership) exchange(ctx context.Context, a member.ExchangeRequest) {
	for {
		before := m.opts.Config.Snapshot().CompleteUpTo()
		state, err := m.exchangeOnce(ctx, a)
		if err != nil {
			m.update(func(now time.Time, s *member.Set) { s.ExchangeFailed(now, a.Incarnation) })
			return
		}
		m.applyState(a.Incarnation, state)
		if len(state.Contracts) < maxContractsPerMessage || m.opts.Config.Snapshot().CompleteUpTo() <= before {
			return
		}
		a.ConfigRevision = state.ConfigRevision
	}
}

// request returns the state that begins an exchange. An entry that has never answered
// may have newer contracts, or be this process itself, reached through the balancer.
// Such an entry is sent no contracts until its answer shows which it lacks.
func (m *Membership) request(a member.ExchangeRequest) *pb.PeerState {
	covered := a.ConfigRevision
	covered = cmp.Or(covered, m.opts.Config.Snapshot().CompleteUpTo())
	return m.stateFor(a.Incarnation, covered)
}

func (m *Membership) exchangeOnce(ctx context.Context, a member.ExchangeRequest) (*pb.PeerState, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.ExchangeTimeout)
	defer cancel()
	return m.opts.Exchanger.Exchange(ctx, a.Address, m.request(a))
}
