// Package membership drives dispatch/member for one entry and keeps the entry's
// contracts up to date. It announces the entry in the store under a lease, follows
// changes in the store, and exchanges state with the other entries.
//
// Contracts reach a process from the store, which it watches, and from the other
// entries, which add the contracts that it lacks to the state they exchange. Either
// source suffices. Both go through config.Holder, which never reverts to an older
// revision.
package membership
