package client

import (
	"sync"
	"time"
)

// Limits of retries, over all jobs of a client.
const (
	// budgetBurst is the number of retries that need no delay.
	budgetBurst = 20
	// budgetPerJob is the number of retries that each submission adds.
	budgetPerJob = 0.2
	// budgetPerSecond is the number of retries added per second, so that a client
	// with few jobs can retry too.
	budgetPerSecond = 2
)

// budget limits retries to a fraction of the jobs. Without it, slow entries
// would receive every job repeatedly from every client, and the retries would
// keep them overloaded after the cause has passed: the request rate would stay
// at many times the job rate after a fault. A retry beyond the budget is
// delayed, not dropped; the job's deadline decides when to stop.
type budget struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newBudget(now time.Time) *budget {
	return &budget{tokens: budgetBurst, last: now}
}

// deposit adds the retries that one submission allows.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetPerJob, budgetBurst)
}

// take reserves one retry and returns how long it must wait.
func (b *budget) take(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.last).Seconds()
	b.last = now
	b.tokens = min(b.tokens+elapsed*budgetPerSecond, budgetBurst) - 1
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / budgetPerSecond * float64(time.Second))
}
