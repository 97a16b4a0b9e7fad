package limit

import (
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/papayahoist/papayahoist/api/jobs"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// Contract holds the limits of a customer's contract.
type Contract struct {
	Name string
	// Rate is in task starts per second; Burst is how many tasks may start at once
	// after a pause.
	Rate        float64
	Burst       uint32
	Concurrency uint32
	MemoryBytes uint64
	// MaxWaiting is the maximum number of tasks that are accepted and not started.
	MaxWaiting uint32
}

// Refusal is the reason why a job is not admitted. None of the job's tasks has run: a
// refusal is made before any message about the job is sent.
type Refusal struct {
	Code jobs.Code
	// RetryAfter is the time after which a retry may succeed; zero means that it
	// won't.
	RetryAfter time.Duration
	Message    string
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// usage is the state of one contract at one entry.
type usage struct {
	contract Contract
	bucket   *rate.Limiter
	slots    uint32
	total    uint32
	running  uint32
	memory   uint64
	// blocked is set when Allow lets no task start, until a task ends or time passes.
	blocked bool
}

// Limiter enforces contracts at one entry, each within the entry's share. It
// implements [place.Limiter]. Use [NewLimiter].
type Limiter struct {
	contracts map[string]*usage
}

// NewLimiter returns a limiter without contracts, which allows no task to start.
func NewLimiter() *Limiter {
	return &Limiter{contracts: make(map[string]*usage)}
}

// SetContract adds or changes a contract. Running tasks stay counted.
func (l *Limiter) SetContract(c Contract, now time.Time) {
	u := l.contracts[c.Name]
	if u == nil {
		// The bucket starts empty: an entry that starts, or whose share grows, must
		// not add tokens that another entry has already spent.
		u = &usage{bucket: rate.NewLimiter(0, 0)}
		l.contracts[c.Name] = u
	}
	u.contract = c
	u.updateBucket(now)
}

// RemoveContract removes a contract. Its running tasks are no longer counted.
func (l *Limiter) RemoveContract(contract string) { delete(l.contracts, contract) }

// SetShare sets the entry's share of a contract: slots out of total. It returns
// whether the share has changed.
func (l *Limiter) SetShare(contract string, slots, total uint32, now time.Time) bool {
	u := l.contracts[contract]
	if u == nil || (u.slots == slots && u.total == total) {
		return false
	}
	u.slots, u.total = slots, total
	u.updateBucket(now)
	return true
}

func (u *usage) updateBucket(now time.Time) {
	share := u.fraction()
	u.bucket.SetLimitAt(now, rate.Limit(u.contract.Rate*share))
	burst := int(float64(u.contract.Burst) * share)
	if share > 0 && u.contract.Rate > 0 {
		// A bucket that holds less than one token would never let a task start.
		burst = max(burst, 1)
	}
	u.bucket.SetBurstAt(now, burst)
}

func (u *usage) fraction() float64 {
	if u.total == 0 {
		return 0
	}
	return float64(u.slots) / float64(u.total)
}

func (u *usage) concurrency() uint32 {
	return uint32(float64(u.contract.Concurrency) * u.fraction())
}

func (u *usage) memoryLimit() uint64 {
	return uint64(float64(u.contract.MemoryBytes) * u.fraction())
}

// Allow implements [place.Limiter].
func (l *Limiter) Allow(now time.Time, contract string, tasks []place.Task) int {
	u := l.contracts[contract]
	if u == nil {
		return 0
	}
	n := min(len(tasks), int(u.concurrency())-int(u.running), int(u.bucket.TokensAt(now)))
	memory, limit := u.memory, u.memoryLimit()
	for i := range max(n, 0) {
		if memory+tasks[i].Memory > limit {
			n = i
			break
		}
		memory += tasks[i].Memory
	}
	if n <= 0 || !u.bucket.AllowN(now, n) {
		u.blocked = true
		return 0
	}
	u.running += uint32(n)
	u.memory = memory
	return n
}

// TaskEnded records the end of a task and releases the memory that was reserved for it.
// It returns whether the contract was blocked, which is cleared.
func (l *Limiter) TaskEnded(contract string, memory uint64) bool {
	u := l.contracts[contract]
	if u == nil {
		return false
	}
	u.running -= min(u.running, 1)
	u.memory -= min(u.memory, memory)
	return u.unblock()
}

func (u *usage) unblock() bool {
	wasBlocked := u.blocked
	u.blocked = false
	return wasBlocked
}

// Unblock unblocks each blocked contract that may start tasks again because time has
// passed, and calls f with it.
func (l *Limiter) Unblock(now time.Time, f func(contract string)) {
	for name, u := range l.contracts {
		if u.blocked && u.running < u.concurrency() && u.bucket.TokensAt(now) >= 1 {
			u.unblock()
			f(name)
		}
	}
}

// AnyBlockedByShare reports whether some contract is blocked of which this entry holds less
// than the whole, so that a larger share could help.
func (l *Limiter) AnyBlockedByShare() bool {
	for _, u := range l.contracts {
		if u.blocked && u.slots < u.total {
			return true
		}
	}
	return false
}

// Running returns the number of a contract's tasks that were started here and have not
// ended.
func (l *Limiter) Running(contract string) uint32 {
	if u := l.contracts[contract]; u != nil {
		return u.running
	}
	return 0
}

// UnblocksAt returns the earliest time at which Unblock may unblock a contract, zero if time
// alone unblocks none.
func (l *Limiter) UnblocksAt(now time.Time) time.Time {
	var at time.Time
	for name, u := range l.contracts {
		if !u.blocked {
			continue
		}
		if opens, ok := l.NextStart(name, now); ok && (at.IsZero() || opens.Before(at)) {
			at = opens
		}
	}
	return at
}

// NextStart returns when the rate allows the next task of a contract to start, or
// false if time alone does not allow it.
func (l *Limiter) NextStart(contract string, now time.Time) (time.Time, bool) {
	u := l.contracts[contract]
	if u == nil || u.bucket.Limit() <= 0 || u.running >= u.concurrency() {
		return time.Time{}, false
	}
	missingTokens := max(1-u.bucket.TokensAt(now), 0)
	return now.Add(time.Duration(math.Ceil(missingTokens / float64(u.bucket.Limit()) * float64(time.Second)))), true
}

// Request describes a job on arrival.
type Request struct {
	Contract string
	Tasks    int
	// MaxTaskMemory is the memory of its largest task, MaxWorkerMemory that of the
	// largest worker.
	MaxTaskMemory, MaxWorkerMemory uint64
	// TimeLeft is the time left until the deadline. If it is not positive, the job has no
	// deadline.
	TimeLeft time.Duration
	// MinRun is the shortest run time, LikelyRun the usual one; zero if unknown.
	MinRun, LikelyRun time.Duration
	// TotalRun is the sum of the tasks' expected run times.
	TotalRun time.Duration
	// WaitingTasks is the number of the contract's tasks that wait here, QueueWait the
	// time that the job is expected to wait for slots.
	WaitingTasks int
	QueueWait    time.Duration
	// Entries is the number of entries.
	Entries int
}

// minRetryAfter keeps callers from retrying at once.
const minRetryAfter = 50 * time.Millisecond

// Admit returns nil if the job is admitted, or else the reason for its refusal.
func (l *Limiter) Admit(r Request, now time.Time) *Refusal {
	u := l.contracts[r.Contract]
	if u == nil {
		return &Refusal{Code: jobs.CodeUnknownContract, Message: "no contract " + r.Contract}
	}
	c := &u.contract
	if c.MemoryBytes < r.MaxTaskMemory {
		return &Refusal{Code: jobs.CodeDoesNotFit, Message: "a task needs more memory than the contract has"}
	}
	if r.MaxWorkerMemory < r.MaxTaskMemory {
		return &Refusal{Code: jobs.CodeDoesNotFit, Message: "a task needs more memory than any worker has"}
	}
	if c.Rate <= 0 || c.Concurrency == 0 {
		return &Refusal{Code: jobs.CodeRateLimited, Message: "the contract allows no tasks"}
	}
	if r.TimeLeft > 0 && r.TimeLeft <= r.MinRun {
		return &Refusal{Code: jobs.CodeDeadline, Message: fmt.Sprintf("the deadline is shorter than the least run time, %v", r.MinRun)}
	}
	limitWait := u.estimateWait(r, now)
	if r.Tasks > int(c.MaxWaiting) || (r.WaitingTasks > 0 && r.WaitingTasks+r.Tasks > u.waitingLimit(r.Entries)) {
		return &Refusal{Code: jobs.CodeQueueFull, RetryAfter: max(limitWait, r.QueueWait, minRetryAfter), Message: "too many tasks of the contract wait"}
	}
	if r.TimeLeft <= 0 {
		return nil
	}
	if overrun := limitWait + r.LikelyRun - r.TimeLeft; limitWait > 0 && overrun >= 0 {
		return &Refusal{Code: jobs.CodeRateLimited, RetryAfter: max(overrun, minRetryAfter), Message: "at the contract's limits the deadline can't be met"}
	}
	if overrun := r.QueueWait + r.LikelyRun - r.TimeLeft; r.QueueWait > 0 && overrun >= 0 {
		return &Refusal{Code: jobs.CodeOverloaded, RetryAfter: max(overrun, minRetryAfter), Message: "the deadline can't be met at the present load"}
	}
	return nil
}

// waitingLimit returns the entry's share of the limit on waiting tasks, in proportion
// to its share of the contract. It is no less than an even share, since an entry that
// has just started holds no share yet. Admit applies it only if other tasks wait.
func (u *usage) waitingLimit(entries int) int {
	even := 1 / float64(max(entries, 1))
	return int(math.Ceil(float64(u.contract.MaxWaiting) * max(u.fraction(), even)))
}

// estimateWait estimates how long the contract's own limits delay the job's last task.
func (u *usage) estimateWait(r Request, now time.Time) time.Duration {
	tasks := float64(r.WaitingTasks + r.Tasks)
	var byRate, bySlots float64
	if limit := float64(u.bucket.Limit()); limit > 0 {
		byRate = max(tasks-u.bucket.TokensAt(now), 0) / limit
	}
	if slots := float64(u.concurrency()); slots > 0 {
		bySlots = max(tasks+float64(u.running)-slots, 0) / slots * r.TotalRun.Seconds() / float64(r.Tasks)
	}
	return time.Duration(max(byRate, bySlots) * float64(time.Second))
}
