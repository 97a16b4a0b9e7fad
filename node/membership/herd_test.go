package membership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/papayahoist/papayahoist/platform/standin/kv"
)

// The store is unreachable for three minutes, in which every lease lapses, and returns.
// Its clients are the entries alone: 3 for 11 workers, 12 for a few hundred. If they
// called it in step when it returns, the platform would refuse their calls, and with
// them the operators' changes.
func TestNoHerdAfterOutage(t *testing.T) {
	for _, entries := range []int{3, 12} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			defer c.close()
			began := c.store.Counts().Total()
			for range entries {
				c.start()
			}
			time.Sleep(time.Second)
			first := c.store.Counts().Total() - began
			c.until(30*time.Second, "all list each other", c.converged)
			time.Sleep(time.Minute)
			quiet := busiest(c, 40)
			c.store.SetFaults(kv.Faults{Outage: true})
			time.Sleep(time.Minute)
			outage := busiest(c, 120)
			c.store.SetFaults(kv.Faults{})
			back := busiest(c, 30)
			t.Logf("%d entries: %d calls in the second in which all start; busiest second: quiet %d, outage %d, back %d",
				entries, first, quiet, outage, back)
			// An entry that returns makes four calls in a row: watch, grant, write and
			// list. Three may do so in one second by chance; of many, most must not.
			if entries > 3 && back*2 > first {
				t.Errorf("%d entries: %d calls in one second after the outage, %d when they start together", entries, back, first)
			}
		})
	}
}

// busiest returns the number of calls in the busiest of the next seconds.
func busiest(c *cluster, seconds int) uint64 {
	var most uint64
	for range seconds {
		before := c.store.Counts().Total()
		time.Sleep(time.Second)
		most = max(most, c.store.Counts().Total()-before)
	}
	return most
}
