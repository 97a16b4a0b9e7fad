package member

import (
	"cmp"
	"slices"
	"time"

	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
	"google.golang.org/protobuf/proto"
)

// Options configures a Set. The zero value of a field means its default.
type Options struct {
	// ExchangeInterval is the interval between exchanges with a member. One side of a pair
	// sends the requests, and the response counts as proof of life for both.
	ExchangeInterval time.Duration
	// A member is dropped if nothing was received from it for DeadAfter and at
	// least DeadFailures exchanges in a row have failed.
	DeadAfter    time.Duration
	DeadFailures int
	// AssumeStoppedAfter is the time without messages from an entry after which it may be
	// assumed to start no more tasks; see PossibleStarters. It must exceed DeadAfter by more
	// than clock differences and process pauses can account for.
	AssumeStoppedAfter time.Duration
	// LeaseTTL is the TTL of the announcements in the store.
	LeaseTTL time.Duration
	// CandidateRetryInterval is the interval between exchanges with a candidate that
	// doesn't answer.
	CandidateRetryInterval time.Duration
	// ForgetAfter is the time after which a candidate that doesn't answer is removed,
	// unless the store or a member still lists it.
	ForgetAfter time.Duration
	// Damping is how long a member that was dropped has to be reachable before it
	// becomes a member again. It doubles with each drop up to MaxDamping, and is
	// reset once the entry has been a member for StableAfter.
	Damping, MaxDamping, StableAfter time.Duration
	// JoinInterval is the interval between requests to the join addresses while the
	// store is unreachable.
	JoinInterval time.Duration
}

// Defaults of Options.
const (
	DefaultExchangeInterval       = 2 * time.Second
	DefaultDeadAfter              = 8 * time.Second
	DefaultDeadFailures           = 3
	DefaultAssumeStoppedAfter     = 16 * time.Second
	DefaultLeaseTTL               = 30 * time.Second
	DefaultCandidateRetryInterval = 5 * time.Second
	DefaultForgetAfter            = 10 * time.Minute
	DefaultDamping                = 2 * time.Second
	DefaultMaxDamping             = 30 * time.Second
	DefaultStableAfter            = time.Minute
	DefaultJoinInterval           = 10 * time.Second
	// joinIntervalAlone replaces Options.JoinInterval while there are no other members.
	joinIntervalAlone = time.Second
	// memberRetryInterval is the interval between exchanges with a member that does
	// not answer.
	memberRetryInterval = time.Second
)

func (o Options) withDefaults() Options {
	o.ExchangeInterval = cmp.Or(o.ExchangeInterval, DefaultExchangeInterval)
	o.DeadAfter = cmp.Or(o.DeadAfter, DefaultDeadAfter)
	o.AssumeStoppedAfter = cmp.Or(o.AssumeStoppedAfter, DefaultAssumeStoppedAfter)
	o.LeaseTTL = cmp.Or(o.LeaseTTL, DefaultLeaseTTL)
	o.CandidateRetryInterval = cmp.Or(o.CandidateRetryInterval, DefaultCandidateRetryInterval)
	o.ForgetAfter = cmp.Or(o.ForgetAfter, DefaultForgetAfter)
	o.Damping = cmp.Or(o.Damping, DefaultDamping)
	o.MaxDamping = cmp.Or(o.MaxDamping, DefaultMaxDamping)
	o.StableAfter = cmp.Or(o.StableAfter, DefaultStableAfter)
	o.JoinInterval = cmp.Or(o.JoinInterval, DefaultJoinInterval)
	o.DeadFailures = cmp.Or(o.DeadFailures, DefaultDeadFailures)
	return o
}

// ExchangeRequest is an exchange that the driver has to perform. The driver reports the result
// with ReceiveState or ExchangeFailed. Incarnation is empty for a request to a join address.
type ExchangeRequest struct {
	Address     string
	Incarnation string
	// ConfigRevision is the last known configuration revision of the other entry.
	ConfigRevision uint64
}

// entry is the state of one other entry process.
type entry struct {
	peer           *pb.Peer
	configRevision uint64 // last known configuration revision

	exchanging     bool // an exchange is in progress
	nextExchange   time.Time
	lastReceived   time.Time // last message received; zero: none
	failures       int       // failed exchanges in a row
	lastListed     time.Time // last listed by the store or an entry, or dropped as a member
	firstListed    time.Time // first listed
	assumedStopped bool      // assumed to start no more tasks; see PossibleStarters

	member         bool
	joinedAt       time.Time // when it last became a member
	reachableSince time.Time // start of the current period without a gap of DeadAfter
	flaps          int       // drops as a member since it was last stable
	inStore        bool      // listed in the store
}

// Set holds the other entries known to this entry.
type Set struct {
	options Options
	self    *pb.Peer
	random  func() float64

	entries map[string]*entry // by incarnation
	// ended holds the incarnations that are proven to have ended, with the time of
	// the proof. They do not become candidates again.
	ended                 map[string]time.Time
	joinAddresses         []string
	nextJoin              time.Time
	joinIndex             int
	storeReachable        bool
	storeReachableSince   time.Time // start of the current period in which the store is reachable
	storeUnreachableSince time.Time // start of the current period in which it is not
	leaseUntil            time.Time // this entry's own lease is certainly in force until then

	members []*pb.Peer // replaced on change
}

// New returns a set without other entries. JoinAddresses holds the addresses of
// entries, or of a load balancer, to join through while the store is unreachable.
// Random returns numbers in [0, 1).
func New(self *pb.Peer, joinAddresses []string, random func() float64, o Options) *Set {
	return &Set{
		options: o.withDefaults(), self: self, random: random, joinAddresses: joinAddresses,
		entries: map[string]*entry{}, ended: map[string]time.Time{},
	}
}

// Members returns the other live entries. The slice is never modified and may be
// shared.
func (s *Set) Members() []*pb.Peer { return s.members }

// Find returns an entry process, whether it is a member or not, or nil if it is
// unknown or proven to have ended. Damping and timeouts are ignored, since a call to
// a process that has ended costs only one failure.
func (s *Set) Find(incarnation string) *pb.Peer {
	if e := s.entries[incarnation]; e != nil {
		return e.peer
	}
	return nil
}

// SetStoreReachable records whether the store is reachable.
func (s *Set) SetStoreReachable(now time.Time, reachable bool) {
	if s.storeReachable && !reachable {
		s.storeUnreachableSince = now
		s.nextJoin = now.Add(s.jitter(s.options.JoinInterval))
	}
	if reachable && !s.storeReachable {
		s.storeReachableSince = now
	}
	s.storeReachable = reachable
}

// ApplyList handles the complete list of entries in the store.
func (s *Set) ApplyList(now time.Time, peers []*pb.Peer) {
	listed := map[string]bool{}
	for _, p := range peers {
		listed[p.Incarnation] = true
		s.Announced(now, p)
	}
	for incarnation, e := range s.entries {
		if e.inStore && !listed[incarnation] {
			s.Withdrawn(now, incarnation)
		}
	}
}

// Announced handles the announcement of an entry in the store.
func (s *Set) Announced(now time.Time, p *pb.Peer) {
	if e := s.candidate(now, p); e != nil {
		e.inStore = true
	}
}

// Withdrawn handles the removal of an entry from the store: its lease was revoked or
// has lapsed. If the entry is a member, it triggers an immediate exchange.
func (s *Set) Withdrawn(now time.Time, incarnation string) {
	if e := s.entries[incarnation]; e != nil && e.inStore {
		e.inStore = false
		if e.member {
			e.nextExchange = now
		}
	}
}

// candidate adds an entry, or records that it is still listed. It returns nil for
// this entry and for entries that have ended.
func (s *Set) candidate(now time.Time, p *pb.Peer) *entry {
	if p.GetIncarnation() == "" || p.Address == "" || p.Incarnation == s.self.Incarnation {
		return nil
	}
	if _, hasEnded := s.ended[p.Incarnation]; hasEnded {
		return nil
	}
	e := s.entries[p.Incarnation]
	if e == nil {
		e = &entry{peer: p, nextExchange: now, firstListed: now}
		s.entries[p.Incarnation] = e
	}
	e.lastListed = now
	return e
}

// ReceiveState handles the state that another entry has sent, in its request or in answer
// to one. Asked is the incarnation that the request was sent to, or empty.
func (s *Set) ReceiveState(now time.Time, asked string, state *pb.PeerState) {
	sender := state.GetSelf()
	if sender.GetIncarnation() == "" {
		s.ExchangeFailed(now, asked)
		return
	}
	if asked != "" && asked != sender.Incarnation {
		// Another process has the address, so the expected one has ended.
		s.markEnded(now, asked)
	}
	for _, p := range state.Peers {
		s.candidate(now, p)
	}
	// The name of the peer is not checked: processes are identified by their
	// incarnation alone.
	e := s.candidate(now, sender)
	if e == nil {
		return
	}
	if sender.Ended {
		s.markEnded(now, sender.Incarnation)
		return
	}
	if e.reachableSince.IsZero() || now.Sub(e.lastReceived) >= s.options.DeadAfter {
		e.reachableSince = now
	}
	e.assumedStopped = false
	changed := !proto.Equal(e.peer, sender)
	e.peer, e.configRevision, e.lastReceived = sender, state.ConfigRevision, now
	e.exchanging, e.failures = false, 0
	e.nextExchange = now.Add(s.exchangeInterval(sender))
	s.promote(now, e)
	if changed {
		s.rebuildMembers()
	}
}

// exchangeInterval returns the time until the next exchange with an entry. It is
// shorter on the side of a pair that normally sends the requests; the other side
// takes over when that one stops.
func (s *Set) exchangeInterval(other *pb.Peer) time.Duration {
	if s.self.Incarnation < other.Incarnation {
		return s.options.ExchangeInterval
	}
	return s.options.ExchangeInterval*3/2 + s.jitter(s.options.ExchangeInterval/2)
}

// jitter returns a random duration between d/2 and d, so that processes don't send
// their requests in lockstep.
func (s *Set) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random()*float64(d)/2)
}

// ExchangeFailed handles an exchange that got no response.
func (s *Set) ExchangeFailed(now time.Time, incarnation string) {
	e := s.entries[incarnation]
	if e == nil {
		return
	}
	e.exchanging = false
	e.failures++
	wait := memberRetryInterval
	if !e.member {
		wait = s.options.CandidateRetryInterval
	}
	e.nextExchange = now.Add(s.jitter(2 * wait))
}

// promote makes an entry a member once it has been reachable for long enough.
func (s *Set) promote(now time.Time, e *entry) {
	if e.member {
		if now.Sub(e.joinedAt) >= s.options.StableAfter {
			e.flaps = 0
		}
		return
	}
	if now.Sub(e.reachableSince) < s.dampingDelay(e.flaps) {
		return
	}
	e.member, e.joinedAt = true, now
	s.rebuildMembers()
}

func (s *Set) dampingDelay(flaps int) time.Duration {
	if flaps == 0 {
		return 0
	}
	d := s.options.Damping
	for i := 1; i < flaps && d < s.options.MaxDamping; i++ {
		d *= 2
	}
	return min(d, s.options.MaxDamping)
}

// markEnded removes a process that is proven to have ended.
func (s *Set) markEnded(now time.Time, incarnation string) {
	s.ended[incarnation] = now
	if e := s.entries[incarnation]; e != nil {
		delete(s.entries, incarnation)
		s.rebuildMembers()
	}
}

// Tick returns the exchanges to perform now. Call it no later than the time that
// Next returns.
func (s *Set) Tick(now time.Time) []ExchangeRequest {
	var exchanges []ExchangeRequest
	for incarnation, e := range s.entries {
		s.checkLiveness(now, e)
		if !e.member && e.assumedStopped && !e.inStore && now.Sub(e.lastListed) >= s.options.ForgetAfter {
			delete(s.entries, incarnation)
			continue
		}
		if !e.exchanging && !now.Before(e.nextExchange) {
			e.exchanging = true
			exchanges = append(exchanges, ExchangeRequest{Address: e.peer.Address, Incarnation: incarnation, ConfigRevision: e.configRevision})
		}
	}
	for incarnation, at := range s.ended {
		if now.Sub(at) >= s.options.ForgetAfter {
			delete(s.ended, incarnation)
		}
	}
	slices.SortFunc(exchanges, func(a, b ExchangeRequest) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return append(exchanges, s.joinRequests(now)...)
}

// checkLiveness drops a member that is unresponsive, or that is leaving and has
// failed an exchange.
func (s *Set) checkLiveness(now time.Time, e *entry) {
	unresponsive := now.Sub(e.lastReceived) >= s.options.DeadAfter && e.failures >= s.options.DeadFailures
	left := e.peer.Leaving && e.failures > 0
	if !e.member || (!unresponsive && !left) {
		return
	}
	e.member = false
	e.flaps++
	e.reachableSince = time.Time{}
	e.lastListed = now
	s.rebuildMembers()
}

// joinRequests returns a request to the next join address, if one is due. A process
// that starts while the store is down has no other way to join. Two groups that
// started separately find each other when a load balancer routes a request to the
// other group.
func (s *Set) joinRequests(now time.Time) []ExchangeRequest {
	if s.storeReachable || len(s.joinAddresses) == 0 || now.Before(s.nextJoin) {
		return nil
	}
	wait := s.options.JoinInterval
	if len(s.members) == 0 {
		wait = joinIntervalAlone
	}
	s.nextJoin = now.Add(s.jitter(2 * wait))
	s.joinIndex++
	return []ExchangeRequest{{Address: s.joinAddresses[s.joinIndex%len(s.joinAddresses)]}}
}

// Next returns the time of the next call of Tick, or the zero time if none is
// needed.
func (s *Set) Next() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, e := range s.entries {
		if !e.exchanging {
			earlier(e.nextExchange)
		}
	}
	if !s.storeReachable && len(s.joinAddresses) > 0 {
		earlier(s.nextJoin)
	}
	return next
}

func (s *Set) rebuildMembers() {
	peers := make([]*pb.Peer, 0, len(s.entries))
	for _, e := range s.entries {
		if e.member {
			peers = append(peers, e.peer)
		}
	}
	slices.SortFunc(peers, func(a, b *pb.Peer) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	s.members = peers
}
