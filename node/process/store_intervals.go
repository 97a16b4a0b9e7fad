package process

import (
	"time"

	"github.com/papayahoist/papayahoist/platform/adapter"
)

// Entries exchange what any of them reads from the store, so each of them polls it less
// often the more entries there are: the rate of calls of an idle fleet does not grow with
// its size.
const (
	// fleetWatchInterval is the mean time between two openings of a watch by any entry of
	// the fleet. If all watches are unresponsive, some entry receives a change after about
	// this time.
	fleetWatchInterval = 100 * time.Millisecond
	// fleetListInterval is the mean time between two reads of the list of entries by any
	// entry of the fleet, and minListInterval the shortest time between those of one entry.
	// The list lets two halves of a fleet that don't know each other find one another.
	fleetListInterval = time.Second
	minListInterval   = 10 * time.Second
)

// callInterval returns the mean time between two calls of one process if n processes
// together make one call per fleetInterval. It is at least minInterval.
func callInterval(n int, fleetInterval, minInterval time.Duration) time.Duration {
	return max(time.Duration(n)*fleetInterval, minInterval)
}

// watchWait returns how long the next watch waits for a change. It is randomized by random,
// in [0, 1): otherwise entries that start together would always reopen their watches
// together, and none in between.
func watchWait(entries int, random float64) time.Duration {
	mean := callInterval(entries, fleetWatchInterval, adapter.DefaultWatchWait)
	maxWait := min(2*mean-adapter.DefaultWatchWait, adapter.MaxWatchWait)
	return adapter.DefaultWatchWait + time.Duration(random*float64(maxWait-adapter.DefaultWatchWait))
}

// listInterval returns the time between two reads of the list of entries by one of n entries.
func listInterval(n int) time.Duration { return callInterval(n, fleetListInterval, minListInterval) }
