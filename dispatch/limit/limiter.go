package limit

import (
	"fmt"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/papayahoist/papayahoist/api/jobs"
	"github.com/papayahoist/papayahoist/dispatch/place"
)

// Contract is what the limiter needs of a customer's contract.
type Contract struct {
	Name string
	// Rate is task starts per second, Burst how many may start at once after a
	// pause.
	Rate        float64
	Burst       uint32
	Concurrency uint32
	MemoryBytes uint64
	// Waiting is the most tasks accepted and not started.
	Waiting uint32
}

// Refusal says why a job is not taken. It is true that nothing of the job ran:
// it is made before any message about it.
type Refusal struct {
	Code jobs.Code
	// RetryAfter is when asking again may help; zero: it won't.
	RetryAfter time.Duration
	Message    string
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Message }

// usage is one contract at one entry.
type usage struct {
	contract Contract
	bucket   *rate.Limiter
	slots    uint32
	total    uint32
	running  uint32
	memory   uint64
	// blocked tells that Allow has let nothing through since the last change.
	blocked bool
}

// Limiter holds the contracts at one entry, each within the entry's part. It
// implements [place.Limiter]. Use [NewLimiter].
type Limiter struct {
	contracts map[string]*usage
}

// NewLimiter returns a limiter without contracts: nothing is allowed.
func NewLimiter() *Limiter {
	return &Limiter{contracts: make(map[string]*usage)}
}

// SetContract adds or changes a contract. Tasks that run stay counted.
func (l *Limiter) SetContract(c Contract, now time.Time) {
	u := l.contracts[c.Name]
	if u == nil {
		// An empty bucket: an entry that starts, or that gets a larger part,
		// must not bring tokens that another entry has spent.
		u = &usage{bucket: rate.NewLimiter(0, 0)}
		l.contracts[c.Name] = u
	}
	u.contract = c
	u.apply(now)
}

// Remove forgets a contract. Its running tasks are no longer counted.
func (l *Limiter) Remove(contract string) { delete(l.contracts, contract) }

// SetPart sets the entry's part of a contract: slots out of total. It returns
// whether the part has changed.
func (l *Limiter) SetPart(contract string, slots, total uint32, now time.Time) bool {
	u := l.contracts[contract]
	if u == nil || (u.slots == slots && u.total == total) {
		return false
	}
	u.slots, u.total = slots, total
	u.apply(now)
	return true
}

func (u *usage) apply(now time.Time) {
	part := u.fraction()
	u.bucket.SetLimitAt(now, rate.Limit(u.contract.Rate*part))
	burst := int(float64(u.contract.Burst) * part)
	if part > 0 && u.contract.Rate > 0 {
		// A bucket of less than one task would never let one through.
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

// Ended counts a task as ended, with the memory that was reserved for it. It
// returns whether the contract was held back and may go on.
func (l *Limiter) Ended(contract string, memory uint64) bool {
	u := l.contracts[contract]
	if u == nil {
		return false
	}
	u.running -= min(u.running, 1)
	u.memory -= min(u.memory, memory)
	return u.reopen()
}

func (u *usage) reopen() bool {
	was := u.blocked
	u.blocked = false
	return was
}

// Open calls f with each contract that was held back and may go on because time
// has passed.
func (l *Limiter) Open(now time.Time, f func(contract string)) {
	for name, u := range l.contracts {
		if u.blocked && u.running < u.concurrency() && u.bucket.TokensAt(now) >= 1 {
			u.reopen()
			f(name)
		}
	}
}

// AnyAtPart reports whether some contract is held back by this entry's part of it
// rather than by the contract itself.
func (l *Limiter) AnyAtPart() bool {
	for _, u := range l.contracts {
		if u.blocked && u.slots < u.total {
			return true
		}
	}
	return false
}

// Running returns a contract's tasks started here and not ended.
func (l *Limiter) Running(contract string) uint32 {
	if u := l.contracts[contract]; u != nil {
		return u.running
	}
	return 0
}

// OpensAt returns when time alone lets a contract go on that was held back, zero
// if there is none.
func (l *Limiter) OpensAt(now time.Time) time.Time {
	var at time.Time
	for name, u := range l.contracts {
		if !u.blocked {
			continue
		}
		if opens, ok := l.Reopens(name, now); ok && (at.IsZero() || opens.Before(at)) {
			at = opens
		}
	}
	return at
}

// Reopens returns when the rate lets the next task of a contract through, or
// false if time alone does not help.
func (l *Limiter) Reopens(contract string, now time.Time) (time.Time, bool) {
	u := l.contracts[contract]
	if u == nil || u.bucket.Limit() <= 0 || u.running >= u.concurrency() {
		return time.Time{}, false
	}
	missing := max(1-u.bucket.TokensAt(now), 0)
	return now.Add(time.Duration(math.Ceil(missing / float64(u.bucket.Limit()) * float64(time.Second)))), true
}

// Request describes a job on arrival.
type Request struct {
	Contract string
	Tasks    int
	// MemoryBytes is what its largest task needs, LargestMemory what the largest
	// worker has.
	MemoryBytes, LargestMemory uint64
	// Left is what remains to the deadline.
	Left time.Duration
	// MinRun is the least run time, LikelyRun the usual one; zero if unknown.
	MinRun, LikelyRun time.Duration
	// Work is the sum of the tasks' expected run times.
	Work time.Duration
	// Waiting are the contract's tasks that wait here, QueueWait how long the
	// queue expects the job to wait for slots.
	Waiting   int
	QueueWait time.Duration
	// Entries is how many entries there are.
	Entries int
}

// minRetryAfter keeps callers from asking again at once.
const minRetryAfter = 50 * time.Millisecond

// Admit returns nil, or why the job is refused.
func (l *Limiter) Admit(r Request, now time.Time) *Refusal {
	u := l.contracts[r.Contract]
	if u == nil {
		return &Refusal{Code: jobs.CodeUnknownContract, Message: "no contract " + r.Contract}
	}
	c := &u.contract
	if c.MemoryBytes < r.MemoryBytes {
		return &Refusal{Code: jobs.CodeDoesNotFit, Message: "a task needs more memory than the contract has"}
	}
	if r.LargestMemory < r.MemoryBytes {
		return &Refusal{Code: jobs.CodeDoesNotFit, Message: "a task needs more memory than any worker has"}
	}
	if c.Rate <= 0 || c.Concurrency == 0 {
		return &Refusal{Code: jobs.CodeRateLimited, Message: "the contract allows no tasks"}
	}
	if r.Left > 0 && r.Left <= r.MinRun {
		return &Refusal{Code: jobs.CodeDeadline, Message: fmt.Sprintf("the deadline is shorter than the least run time, %v", r.MinRun)}
	}
	limitWait := u.wait(r, now)
	if r.Tasks > int(c.Waiting) || (r.Waiting > 0 && r.Waiting+r.Tasks > u.waitingLimit(r.Entries)) {
		return &Refusal{Code: jobs.CodeQueueFull, RetryAfter: max(limitWait, r.QueueWait, minRetryAfter), Message: "too many tasks of the contract wait"}
	}
	if r.Left <= 0 {
		return nil
	}
	if late := limitWait + r.LikelyRun - r.Left; limitWait > 0 && late >= 0 {
		return &Refusal{Code: jobs.CodeRateLimited, RetryAfter: max(late, minRetryAfter), Message: "at the contract's limits the deadline can't be met"}
	}
	if late := r.QueueWait + r.LikelyRun - r.Left; r.QueueWait > 0 && late >= 0 {
		return &Refusal{Code: jobs.CodeOverloaded, RetryAfter: max(late, minRetryAfter), Message: "the deadline can't be met at the present load"}
	}
	return nil
}

// waitingLimit is the entry's part of the waiting limit: what its part of the
// contract gives, and no less than an even part, since an entry that has just
// started holds no part yet. A job alone may always wait.
func (u *usage) waitingLimit(entries int) int {
	even := 1 / float64(max(entries, 1))
	return int(math.Ceil(float64(u.contract.Waiting) * max(u.fraction(), even)))
}

// wait is how long the contract's own limits keep the job's last task waiting.
func (u *usage) wait(r Request, now time.Time) time.Duration {
	tasks := float64(r.Waiting + r.Tasks)
	var byRate, bySlots float64
	if limit := float64(u.bucket.Limit()); limit > 0 {
		byRate = max(tasks-u.bucket.TokensAt(now), 0) / limit
	}
	if slots := float64(u.concurrency()); slots > 0 {
		bySlots = max(tasks+float64(u.running)-slots, 0) / slots * r.Work.Seconds() / float64(r.Tasks)
	}
	return time.Duration(max(byRate, bySlots) * float64(time.Second))
}
