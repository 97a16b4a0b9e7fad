package dispatcher

import (
	"testing"
	"time"
)

// Small tasks that are expected to start in time behind each other must not pile up at a worker
// without a limit: all of them are searched whenever one ends.
func TestOrdersAtAWorkerAreLimited(t *testing.T) {
	x := newFixture(t, "a0")
	x.agents["a0-1"].capacity = 1 << 20
	x.report(x.agents["a0-1"])
	job := tasks(MaxTasks/2, 1, time.Millisecond)
	job.Steps[0].Size.MemoryMB = 0
	refused := 0
	for range 4 {
		if _, a := x.submit(job); a != nil {
			refused++
		}
	}
	if n := len(x.d.agents[0].live); refused != 2 || n != MaxTasks {
		t.Errorf("%d jobs refused, %d orders at the worker; want 2 and %d", refused, n, MaxTasks)
	}
}
