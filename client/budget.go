package client

import (
	"sync"
	"time"
)

// Limits of retries, over all of a client's jobs.
const (
	// budgetBurst is how many retries may follow each other at once.
	budgetBurst = 20
	// budgetPerJob is what each submission adds.
	budgetPerJob = 0.2
	// budgetPerSecond is what time adds, so that a quiet client can retry too.
	budgetPerSecond = 2
)

// budget bounds retries to a share of the jobs. Without it, entries that answer
// late get every job again and again from every client, and the retries keep
// them late when the cause has passed; one would notice requests that stay many
// times the jobs after a fault. A retry beyond the budget is delayed, not
// dropped: the job's deadline decides when to give up.
type budget struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newBudget(now time.Time) *budget {
	return &budget{tokens: budgetBurst, last: now}
}

// deposit adds one submission's share.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetPerJob, budgetBurst)
}

// take reserves one retry and returns how long it must wait.
func (b *budget) take(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	passed := now.Sub(b.last).Seconds()
	b.last = now
	b.tokens = min(b.tokens+passed*budgetPerSecond, budgetBurst) - 1
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / budgetPerSecond * float64(time.Second))
}
