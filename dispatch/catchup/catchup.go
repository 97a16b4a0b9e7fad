// Package catchup tracks how far an entry's configuration is behind those in force at other
// entries. It does no I/O and reads no clock; callers must serialize all calls.
package catchup

import "time"

// Tracker compares the version in force at one entry with the newest one known. The zero
// value knows no version.
type Tracker struct {
	own, newest uint64
	behindSince time.Time // zero: own is the newest
}

// SetOwn records the version in force at this entry. It returns how long the entry was
// behind, zero if it wasn't.
func (t *Tracker) SetOwn(now time.Time, version uint64) time.Duration {
	t.own = max(t.own, version)
	t.newest = max(t.newest, version)
	if t.behindSince.IsZero() || t.own < t.newest {
		return 0
	}
	behind := now.Sub(t.behindSince)
	t.behindSince = time.Time{}
	return behind
}

// SetOther records the version in force at another entry.
func (t *Tracker) SetOther(now time.Time, version uint64) {
	t.newest = max(t.newest, version)
	if t.own < t.newest && t.behindSince.IsZero() {
		t.behindSince = now
	}
}

// Newest returns the newest version known, and for how long this entry has been behind.
func (t *Tracker) Newest(now time.Time) (version uint64, behind time.Duration) {
	if t.behindSince.IsZero() {
		return t.newest, 0
	}
	return t.newest, now.Sub(t.behindSince)
}
