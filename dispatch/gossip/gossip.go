// Package gossip keeps one entry's view of which entries live. An entry exchanges with
// some others only, so what it costs hardly grows with their number: with a thousand
// entries it has about twenty partners. What one partner finds travels from pair to
// pair as records, the newest of which counts (a last-writer-wins map); at rest the two
// of a pair compare digests and nothing travels.
//
// A view is a hint: whom to link to, to ask, or to tell. No promise rests on it. It does
// no I/O and reads no clock; callers serialize all calls.
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
	// FullMesh is up to how many others an entry exchanges with each of them.
	FullMesh = 12
	// LostAfter is how long a partner that isn't heard counts as living: two exchanges.
	LostAfter = 2 * time.Second
	// vouchFor is how long after it was heard directly an entry is vouched for against
	// another's finding that it is lost: half of LostAfter, which is one exchange. The
	// other one has not heard it for LostAfter, and it may have answered here last.
	vouchFor = LostAfter / 2
	// ForgetAfter is how long an entry that is lost is remembered, and an address
	// without an entry behind it tried.
	ForgetAfter = time.Minute
	// paused is the time between two ticks that shows that this process stood still.
	paused = time.Second
)

// Record is what is known of one entry. Of two, the one with the higher generation
// counts, and of two with the same, the one that says lost.
type Record struct {
	Address    string
	Generation uint64
	Lost       bool
}

func (r Record) newer(than Record) bool {
	if r.Generation != than.Generation {
		return r.Generation > than.Generation
	}
	return r.Lost && !than.Lost
}

type known struct {
	Record
	heard time.Time // directly
	// awaited is from when on its silence counts: it was heard, became a partner, or
	// another entry told that it lives.
	awaited time.Time
	lostAt  time.Time
}

// View is what one entry knows of all.
type View struct {
	self    Record
	fixed   []string // addresses that are tried for ever
	all     map[string]*known
	tried   map[string]time.Time // addresses without a record, since when
	ticked  time.Time
	living  []string
	ring    map[string]bool // partners among the living
	digest  uint64
	changes uint64
}

// New returns the view of an entry that knows itself. The generation must be higher
// than that of an earlier process at the address, or the others take its entry for
// lost until they hear it: a time of day serves. Fixed are addresses that are tried
// for ever.
func New(address string, generation uint64, fixed []string) *View {
	v := &View{self: Record{Address: address, Generation: generation}, fixed: fixed, all: map[string]*known{}, tried: map[string]time.Time{}}
	v.rebuild()
	return v
}

// Living lists the addresses of the entries that live, this one included, in order.
// The slice is replaced, never changed.
func (v *View) Living() []string { return v.living }

// Digest stands for the records of the living.
func (v *View) Digest() uint64 { return v.digest }

// Changes grows when Living or the partners change.
func (v *View) Changes() uint64 { return v.changes }

// Lives reports whether an address is that of a living entry.
func (v *View) Lives(address string) bool {
	k := v.all[address]
	return address == v.self.Address || k != nil && !k.Lost
}

// Known reports whether an address is of use.
func (v *View) Known(address string) bool {
	_, tried := v.tried[address]
	return tried || v.all[address] != nil || slices.Contains(v.fixed, address)
}

// Partner reports whether this entry exchanges with the one at an address: one of its
// neighbours, or an address behind which no entry is known to live.
func (v *View) Partner(address string) bool {
	if v.Lives(address) {
		return v.ring[address]
	}
	return v.Known(address)
}

// Partners is the number of the living with which this entry exchanges.
func (v *View) Partners() int { return len(v.ring) }

// Records are all that is known, this entry first.
func (v *View) Records() []Record {
	out := []Record{v.self}
	for _, address := range slices.Sorted(maps.Keys(v.all)) {
		out = append(out, v.all[address].Record)
	}
	return out
}

// Learn takes in addresses found elsewhere, to be tried.
func (v *View) Learn(now time.Time, addresses []string) {
	for _, a := range addresses {
		if a == "" || a == v.self.Address || v.Lives(a) {
			continue
		}
		v.tried[a] = now
	}
}

// Heard takes in that an entry has answered, or asked.
func (v *View) Heard(now time.Time, address string) {
	if address == "" || address == v.self.Address {
		return
	}
	delete(v.tried, address)
	k := v.all[address]
	if k == nil {
		v.all[address] = &known{Record: Record{Address: address}, heard: now, awaited: now}
		v.rebuild()
		return
	}
	k.heard, k.awaited = now, now
	if k.Lost {
		// It lives, whatever others found.
		k.Lost = false
		k.Generation++
		v.rebuild()
	}
}

// Merge takes in the records of another entry.
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
	k := v.all[r.Address]
	if k == nil {
		if r.Lost {
			return false
		}
		delete(v.tried, r.Address)
		v.all[r.Address] = &known{Record: r, awaited: now}
		return true
	}
	if !r.newer(k.Record) {
		return false
	}
	if r.Lost && v.ring[r.Address] && now.Sub(k.heard) < vouchFor {
		// An entry that was cut off itself has found all others lost. Without this it
		// would take each of them out of every view when it is back.
		k.Generation, k.Lost = r.Generation+1, false
		return true
	}
	if r.Lost {
		k.lostAt = now
	} else {
		k.awaited = now
	}
	k.Record = r
	return true
}

// refute answers a record of this entry that is newer than its own.
func (v *View) refute(r Record) bool {
	if !r.newer(v.self) {
		return false
	}
	v.self.Generation = r.Generation + 1
	return true
}

// Tick takes in the passing of time; it is to be called a few times a second.
func (v *View) Tick(now time.Time) {
	stood := !v.ticked.IsZero() && now.Sub(v.ticked) >= paused
	v.ticked = now
	changed := false
	for address, k := range v.all {
		switch {
		case stood:
			// The others seem silent because this process was.
			k.awaited = now
		case !k.Lost && v.ring[address] && now.Sub(k.awaited) >= LostAfter:
			k.Lost, k.lostAt, changed = true, now, true
		case k.Lost && now.Sub(k.lostAt) >= ForgetAfter:
			delete(v.all, address)
		}
	}
	for address, since := range v.tried {
		if now.Sub(since) >= ForgetAfter {
			delete(v.tried, address)
		}
	}
	if changed {
		v.rebuild()
	}
}

// rebuild makes anew what follows from the records.
func (v *View) rebuild() {
	living := []string{v.self.Address}
	for address, k := range v.all {
		if !k.Lost {
			living = append(living, address)
		}
	}
	slices.Sort(living)
	var d xxhash.Digest
	d.Reset()
	for _, address := range living {
		r := v.self
		if address != v.self.Address {
			r = v.all[address].Record
		}
		_, _ = d.WriteString(address)
		var generation [8]byte
		binary.BigEndian.PutUint64(generation[:], r.Generation)
		_, _ = d.Write(generation[:])
	}
	before := v.ring
	v.living, v.digest, v.ring = living, d.Sum64(), neighbours(v.self.Address, living)
	v.changes++
	for address := range v.ring {
		if !before[address] {
			v.all[address].awaited = later(v.all[address].awaited, v.ticked)
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// neighbours are the entries that one exchanges with: all, when they are few, and
// otherwise those at distances 1, 2, 4, ... both ways on a ring in the order of hashes.
// Each is the neighbour of its neighbours, and no two are further apart than a number of
// exchanges that grows with the logarithm of their number.
func neighbours(self string, living []string) map[string]bool {
	out := map[string]bool{}
	n := len(living)
	if n-1 <= FullMesh {
		for _, a := range living {
			out[a] = a != self
		}
		delete(out, self)
		return out
	}
	ring := slices.Clone(living)
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
