// Package gossip keeps one entry's view of which entries are alive. An entry exchanges
// with only some of the others, its partners, so that its cost grows slowly with their
// number: among a thousand entries it has about twenty partners. What an entry detects
// spreads from pair to pair as records, of which the newest wins (a last-writer-wins
// map). While nothing changes, partners compare digests and send no records.
//
// A view is only a hint on which entries to link to, query or notify; no guarantee
// depends on it. The package does no I/O and reads no clock; callers must serialize all
// calls.
package gossip

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxFullMesh is the highest number of other entries at which an entry exchanges
	// with all of them.
	MaxFullMesh = 12
	// LostAfter is how long a partner counts as alive without contact: two exchange
	// periods.
	LostAfter = 2 * time.Second
	// recentContact is how long after direct contact a partner is kept alive although a
	// record of another entry says that it is lost. It is half of LostAfter, one exchange
	// period: the other entry had no contact for LostAfter, and the partner may have
	// answered here since.
	recentContact = LostAfter / 2
	// ExpireAfter is how long the record of a lost entry is kept, and how long an
	// address is tried at which no entry has answered.
	ExpireAfter = time.Minute
	// pauseThreshold is the time between two ticks that indicates that this process was
	// suspended.
	pauseThreshold = time.Second
)

// Record is the state of one entry as it is exchanged. Of two records the one with the
// higher generation wins, and with equal generations the one with Lost set.
type Record struct {
	Address    string
	Generation uint64
	Lost       bool
}

func (r Record) supersedes(other Record) bool {
	if r.Generation != other.Generation {
		return r.Generation > other.Generation
	}
	return r.Lost && !other.Lost
}

type member struct {
	Record
	lastContact time.Time // the last direct exchange
	// timeoutStart is the time from which LostAfter is measured: the last contact, the
	// time at which it became a partner, or at which a record reported it alive.
	timeoutStart time.Time
	lostAt       time.Time
}

// View is one entry's view of all entries. Use [New].
type View struct {
	self       Record
	seeds      []string // addresses that are tried without a time limit
	members    map[string]*member
	candidates map[string]time.Time // addresses without a record, by the time of their last discovery
	lastTick   time.Time
	alive      []string
	partners   map[string]bool // alive entries with which this one exchanges
	digest     uint64
	changes    uint64
}

// New returns the view of an entry that knows only itself. The generation must be
// higher than that of any earlier process at the address, or else the others may
// consider the entry lost until they have contact with it; a wall-clock time is
// suitable. The seeds are addresses that are tried without a time limit.
func New(address string, generation uint64, seeds []string) *View {
	v := &View{self: Record{Address: address, Generation: generation}, seeds: seeds, members: map[string]*member{}, candidates: map[string]time.Time{}}
	v.rebuild()
	return v
}

// Alive returns the addresses of the entries that are alive, including this one, in
// sorted order. The slice is never modified; a change replaces it.
func (v *View) Alive() []string { return v.alive }

// Digest returns a hash of the records of the entries that are alive.
func (v *View) Digest() uint64 { return v.digest }

// Version returns a number that grows whenever Alive or the partners change.
func (v *View) Version() uint64 { return v.changes }

// IsAlive reports whether the entry at an address is alive.
func (v *View) IsAlive(address string) bool {
	m := v.members[address]
	return address == v.self.Address || m != nil && !m.Lost
}

// Known reports whether an address is a seed, a candidate or that of a recorded entry.
func (v *View) Known(address string) bool {
	_, candidate := v.candidates[address]
	return candidate || v.members[address] != nil || slices.Contains(v.seeds, address)
}

// IsPartner reports whether this entry exchanges with the one at an address: a partner, or
// a known address at which no entry is known to be alive.
func (v *View) IsPartner(address string) bool {
	if v.IsAlive(address) {
		return v.partners[address]
	}
	return v.Known(address)
}

// PartnerCount returns the number of alive entries with which this one exchanges.
func (v *View) PartnerCount() int { return len(v.partners) }

// Records returns the records of all entries, this one first.
func (v *View) Records() []Record {
	out := []Record{v.self}
	for _, address := range slices.Sorted(maps.Keys(v.members)) {
		out = append(out, v.members[address].Record)
	}
	return out
}

// AddCandidates adds addresses that were discovered by other means, to be tried.
func (v *View) AddCandidates(now time.Time, addresses []string) {
	for _, a := range addresses {
		if a == "" || a == v.self.Address || v.IsAlive(a) {
			continue
		}
		v.candidates[a] = now
	}
}

// RecordContact records direct contact: an entry has sent a request or an answer.
func (v *View) RecordContact(now time.Time, address string) {
	if address == "" || address == v.self.Address {
		return
	}
	delete(v.candidates, address)
	m := v.members[address]
	if m == nil {
		v.members[address] = &member{Record: Record{Address: address}, lastContact: now, timeoutStart: now}
		v.rebuild()
		return
	}
	m.lastContact, m.timeoutStart = now, now
	if m.Lost {
		// Direct contact overrides what others detected.
		m.Lost = false
		m.Generation++
		v.rebuild()
	}
}

// Merge applies the records of another entry.
func (v *View) Merge(now time.Time, records []Record) {
	changed := false
	for _, r := range records {
		changed = v.merge(now, r) || changed
	}
	if changed {
		v.rebuild()
	}
}

func (v *View) merge(now time.Time, r Record) bool {
	if r.Address == "" {
		return false
	}
	if r.Address == v.self.Address {
		return v.refute(r)
	}
	m := v.members[r.Address]
	if m == nil {
		if r.Lost {
			return false
		}
		delete(v.candidates, r.Address)
		v.members[r.Address] = &member{Record: r, timeoutStart: now}
		return true
	}
	if !r.supersedes(m.Record) {
		return false
	}
	if r.Lost && v.partners[r.Address] && now.Sub(m.lastContact) < recentContact {
		// An entry that was partitioned itself has marked all others lost. Without this
		// check it would remove each of them from all views when it reconnects.
		m.Generation, m.Lost = r.Generation+1, false
		return true
	}
	if r.Lost {
		m.lostAt = now
	} else {
		m.timeoutStart = now
	}
	m.Record = r
	return true
}

// refute overrides a record of this entry that supersedes its own.
func (v *View) refute(r Record) bool {
	if !r.supersedes(v.self) {
		return false
	}
	v.self.Generation = r.Generation + 1
	return true
}

// Tick applies timeouts. It must be called several times a second.
func (v *View) Tick(now time.Time) {
	wasPaused := !v.lastTick.IsZero() && now.Sub(v.lastTick) >= pauseThreshold
	v.lastTick = now
	changed := false
	for address, m := range v.members {
		switch {
		case wasPaused:
			// The others seem unresponsive because this process was suspended.
			m.timeoutStart = now
		case !m.Lost && v.partners[address] && now.Sub(m.timeoutStart) >= LostAfter:
			m.Lost, m.lostAt, changed = true, now, true
		case m.Lost && now.Sub(m.lostAt) >= ExpireAfter:
			delete(v.members, address)
		}
	}
	for address, since := range v.candidates {
		if now.Sub(since) >= ExpireAfter {
			delete(v.candidates, address)
		}
	}
	if changed {
		v.rebuild()
	}
}

// rebuild recomputes the state that is derived from the records.
func (v *View) rebuild() {
	alive := []string{v.self.Address}
	for address, m := range v.members {
		if !m.Lost {
			alive = append(alive, address)
		}
	}
	slices.Sort(alive)
	var d xxhash.Digest
	d.Reset()
	for _, address := range alive {
		r := v.self
		if address != v.self.Address {
			r = v.members[address].Record
		}
		_, _ = d.WriteString(address)
		var generation [8]byte
		binary.BigEndian.PutUint64(generation[:], r.Generation)
		_, _ = d.Write(generation[:])
	}
	before := v.partners
	v.alive, v.digest, v.partners = alive, d.Sum64(), partnersOf(v.self.Address, alive)
	v.changes++
	for address := range v.partners {
		if !before[address] {
			v.members[address].timeoutStart = later(v.members[address].timeoutStart, v.lastTick)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// partnersOf returns the entries with which self exchanges: all if there are at most
// MaxFullMesh others, and otherwise those at distances 1, 2, 4, ... in both directions
// on a ring ordered by hash. The relation is symmetric, and the number of exchanges
// between any two entries grows with the logarithm of the number of entries.
func partnersOf(self string, alive []string) map[string]bool {
	out := map[string]bool{}
	n := len(alive)
	if n-1 <= MaxFullMesh {
		for _, a := range alive {
			out[a] = a != self
		}
		delete(out, self)
		return out
	}
	ring := slices.Clone(alive)
	slices.SortFunc(ring, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	at := slices.Index(ring, self)
	for step := 1; step <= n/2; step *= 2 {
		out[ring[(at+step)%n]] = true
		out[ring[(at-step+n)%n]] = true
	}
	return out
}
