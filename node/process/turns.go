package process

import (
	"time"

	"github.com/papayahoist/papayahoist/platform/adapter"
)

// Entries tell each other what the store tells one of them, so what they ask of it they ask
// in turns: calls at rest don't grow with their number.
const (
	// watchEach is the mean time between two entries of a fleet that open their watch anew.
	// If all watches have gone silent, one of them hears of a change after so long.
	watchEach = 100 * time.Millisecond
	// listEach and minListEvery are the same for reading the list of entries, which is how
	// two halves of a fleet that know nothing of each other meet.
	listEach     = time.Second
	minListEvery = 10 * time.Second
)

// turn is the mean time between two calls of one of n processes that take turns, one of
// which calls each time.
func turn(n int, each, least time.Duration) time.Duration {
	return max(time.Duration(n)*each, least)
}

// watchWait is how long the next watch waits. It is drawn, since entries that begin together
// would go on opening their watches together, and none would in between.
func watchWait(entries int, random float64) time.Duration {
	mean := turn(entries, watchEach, adapter.DefaultWatchWait)
	longest := min(2*mean-adapter.DefaultWatchWait, adapter.MaxWatchWait)
	return adapter.DefaultWatchWait + time.Duration(random*float64(longest-adapter.DefaultWatchWait))
}

func listEvery(entries int) time.Duration { return turn(entries, listEach, minListEvery) }
