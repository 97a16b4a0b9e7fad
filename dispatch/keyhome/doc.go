// Package keyhome decides which entry is home to a job whose id is a key made by the
// caller, so that no two entries ever start jobs with the same key.
//
// The home of a key is chosen by rendezvous hashing among the entries announced in
// the platform's service. Entries may differ in which other entries they know, so an
// entry starts a key only if it owns it for certain: at any time since the caller
// first sent the key, either this entry was its home or no entry could start it.
// Three rules ensure this:
//
//   - An entry serves keys only while its announcement is valid. It reads the whole
//     list after it has announced itself, so that of two entries the later one knows
//     the earlier.
//   - It starts to serve only when each entry on that list has confirmed it, by
//     echoing a timestamp that it sent after reading the list: by then each of them
//     includes it in the hashing.
//   - An entry is excluded only when its announcement has disappeared from the list.
//     By then it has stopped serving, by its own clock. Its keys move to other
//     entries only if they were first sent after that.
//
// Two entries that can't reach each other keep to their own keys.
//
// A new entry, and one whose announcement has lapsed, serves only keys first sent
// after it was confirmed. While the service is down, announcements lapse and no entry
// serves keys. Callers that need higher availability put a home token into their ids.
//
// A Resolver does no I/O, reads no clock, and must not be used by several goroutines
// concurrently. Times are those of the local wall clock. Clocks of callers and
// entries may differ by up to Skew. Only the announcement is judged by a clock of its own,
// which must count the time during which the machine is suspended: the service does.
package keyhome
