// Package catchup decides when and from which other entry an entry fetches the configuration.
//
// A configuration is large, and an entry's link may be small. Usually the store delivers it
// soon after it was written. Therefore other entries only announce their versions, and an
// entry that lacks one fetches it itself, after a delay and from one entry at a time:
// transfers that compete for a link all take longer, and are in vain but for one.
//
// The package does no I/O and reads no clock; callers must serialize all calls.
package catchup

import (
	"maps"
	"slices"
	"time"
)

// Options configure a Tracker. The zero value of a field means none.
type Options struct {
	// Delay is the time between the announcement of a newer version and the fetch, plus
	// jitter of up to the same time. Usually the store delivers the version within it. An
	// entry without any configuration can't serve, and fetches at once.
	Delay time.Duration
	// MaxHold is how much longer a fetch is put off while the store delivers something.
	MaxHold time.Duration
	// RetryDelay is the time after a failed fetch, plus jitter of up to the same time.
	RetryDelay time.Duration
	// Random returns numbers in [0, 1).
	Random func() float64
}

// Tracker is the state of one entry: the version in force, those at other entries, and the
// fetch in progress. Use New.
type Tracker struct {
	opts        Options
	own, newest uint64
	behindSince time.Time // zero: own is the newest
	holders     map[string]holder
	fetching    string    // address of the entry that is being fetched from
	notBefore   time.Time // of the next fetch
}

// holder is an entry from which a version can be fetched.
type holder struct {
	version uint64
	failed  bool // the last fetch from it, since this entry was last up to date
}

// New returns the tracker of an entry without a configuration.
func New(o Options) *Tracker { return &Tracker{opts: o, holders: map[string]holder{}} }

func (t *Tracker) jitter(d time.Duration) time.Duration {
	return d + time.Duration(t.opts.Random()*float64(d))
}

// SetOwn records the version in force at this entry. It returns how long the entry was
// behind, zero if it wasn't or still is.
func (t *Tracker) SetOwn(now time.Time, version uint64) time.Duration {
	t.own = max(t.own, version)
	t.newest = max(t.newest, version)
	if t.behindSince.IsZero() || t.own < t.newest {
		return 0
	}
	behind := now.Sub(t.behindSince)
	t.behindSince = time.Time{}
	for a, h := range t.holders {
		h.failed = false
		t.holders[a] = h
	}
	return behind
}

// SetOther records the version in force at another entry. Fetchable tells whether that
// entry serves fetches.
func (t *Tracker) SetOther(now time.Time, address string, version uint64, fetchable bool) {
	if fetchable {
		t.holders[address] = holder{version, t.holders[address].failed}
	}
	t.newest = max(t.newest, version)
	if t.own < t.newest && t.behindSince.IsZero() {
		t.behindSince = now
		t.notBefore = now
		if t.own > 0 {
			t.notBefore = now.Add(t.jitter(t.opts.Delay))
		}
	}
}

// Remove forgets an entry.
func (t *Tracker) Remove(address string) { delete(t.holders, address) }

// Newest returns the newest version known, and for how long this entry has been behind.
func (t *Tracker) Newest(now time.Time) (version uint64, behind time.Duration) {
	if t.behindSince.IsZero() {
		return t.newest, 0
	}
	return t.newest, now.Sub(t.behindSince)
}

// Next returns the address of the entry from which to fetch now, which the caller must follow
// by a call of Done, or else the time at which to ask again. Both are zero if there is nothing
// to do. Delivering tells whether the store is delivering something, perhaps that version.
func (t *Tracker) Next(now time.Time, delivering bool) (address string, at time.Time) {
	if t.own >= t.newest || t.fetching != "" {
		return "", time.Time{}
	}
	if now.Before(t.notBefore) {
		return "", t.notBefore
	}
	if delivering && t.own > 0 && now.Sub(t.behindSince) < t.opts.MaxHold {
		t.notBefore = now.Add(t.jitter(t.opts.Delay))
		return "", t.notBefore
	}
	t.fetching = t.choose()
	return t.fetching, time.Time{}
}

// choose returns a holder of the newest version that can be fetched, at random. One that
// has failed is chosen only if all have.
func (t *Tracker) choose() string {
	var best holder
	chosen, equal := "", 0.0
	for _, a := range slices.Sorted(maps.Keys(t.holders)) {
		h := t.holders[a]
		switch {
		case h.version <= t.own:
			continue
		case chosen == "" || best.failed && !h.failed || best.failed == h.failed && h.version > best.version:
			best, chosen, equal = h, a, 1
		case h == best:
			if equal++; t.opts.Random()*equal > equal-1 {
				chosen = a
			}
		}
	}
	return chosen
}

// Done records the end of the fetch in progress. If it succeeded, SetOwn must be called first.
func (t *Tracker) Done(now time.Time, ok bool) {
	if h, known := t.holders[t.fetching]; known {
		h.failed = !ok
		t.holders[t.fetching] = h
	}
	t.fetching = ""
	t.notBefore = now
	if !ok {
		t.notBefore = now.Add(t.jitter(t.opts.RetryDelay))
	}
}
