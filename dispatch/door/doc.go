// Package door decides which entry is home to a job whose id is a key of the
// caller's own, so that no two entries ever start jobs of the same key.
//
// A key's home is the one of the living entries that rendezvous hashing puts
// first. Entries may differ in whom they take for living, so an entry starts a
// key only if it can vouch for the key's whole life: at any time since the caller
// first sent it, either this entry was its home, or nobody could start it.
//
// Three rules make that so. An entry serves keys only while its announcement in
// the platform's service holds, which it must have read the whole list after: of
// two entries, the later one knows the earlier. It serves only while every other
// entry that it knows has let it within Permit: each lets the others by echoing
// the times that they send. And an entry that has not let another for Permit
// takes over that one's keys, but only those first sent after that. A newcomer, an
// entry back from a pause or from behind a cut starts anew with keys first sent
// from then on.
//
// A Door does no I/O, reads no clock, and must be called by one goroutine at a
// time. Times are the local wall clock's; clocks of callers and entries may differ
// by Skew.
package door
