// Package membership drives dispatch/member for one entry, and keeps its
// contracts up to date: it announces the entry in the store under a lease,
// follows the store, and exchanges state with the other entries.
//
// Contracts reach a process in two ways: from the store, which it watches, and
// from the entries that it exchanges state with anyway, who send what it lacks.
// Either suffices. Both go through config.Holder, which never goes back.
package membership
