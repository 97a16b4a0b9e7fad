// Package door decides which entry is home to a job whose id is a key of the
// caller's own, so that no two entries ever start jobs of the same key.
//
// A key's home is the one of the entries announced in the platform's service that
// rendezvous hashing puts first. Entries may differ in whom they know, so an entry
// starts a key only if it can vouch for the key's whole life: at any time since
// the caller first sent it, either this entry was its home, or nobody could start
// it. Three rules make that so.
//
// An entry serves keys only while its announcement holds. It reads the whole list
// after it has announced itself, so that of two entries the later one knows the
// earlier, and serves only when each entry on that list has let it, by echoing a
// time that it sent since: by then each counts it in. And an entry is counted out
// only when its announcement is gone from the list, by when it has stopped by its
// own clock; its keys go to others only if they were first sent after that. Two
// entries that can't reach each other keep to their own keys.
//
// A newcomer, and an entry whose announcement has lapsed, starts with keys first
// sent from then on. While the service is down announcements lapse, and keys are
// served by nobody: callers that need more put a home token into their ids.
//
// A Door does no I/O, reads no clock, and must be called by one goroutine at a
// time. Times are the local wall clock's; clocks of callers and entries may differ
// by Skew.
package door
