package metrics

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/papayahoist/papayahoist/api/jobs"
	pb "github.com/papayahoist/papayahoist/api/papayahoistv1"
)

// ContractMetrics holds the series of one contract at an entry.
type ContractMetrics struct {
	// Offered counts the jobs submitted by callers, excluding resubmissions.
	Offered *Counter
	// Served counts the jobs answered with complete results.
	Served *Counter
	// Failed counts the jobs that ran tasks but were not completed.
	Failed prometheus.Counter
	// Unknown counts the jobs answered with an unknown outcome.
	Unknown prometheus.Counter
	// TasksDispatched counts the tasks sent to agents.
	TasksDispatched *Counter

	refused       map[jobs.Code]*Counter
	responseRatio prometheus.Observer
}

// Counter is a Prometheus counter whose value the process can also read, for its
// status.
type Counter struct {
	counter prometheus.Counter
	value   atomic.Uint64
}

// Add adds n to the counter.
func (c *Counter) Add(n int) {
	c.value.Add(uint64(n))
	c.counter.Add(float64(n))
}

// Value returns the current count, which starts at zero with the process.
func (c *Counter) Value() uint64 { return c.value.Load() }

// RefusedCounts returns the number of refused jobs by code, sorted by code. Codes
// without refused jobs are omitted.
func (c *ContractMetrics) RefusedCounts() []*pb.RefusedCount {
	var counts []*pb.RefusedCount
	for _, code := range slices.Sorted(maps.Keys(c.refused)) {
		if n := c.refused[code].Value(); n > 0 {
			counts = append(counts, &pb.RefusedCount{Code: string(code), Count: n})
		}
	}
	return counts
}

// CountRefused counts a job answered as not run.
func (c *ContractMetrics) CountRefused(code jobs.Code) {
	if counter, ok := c.refused[code]; ok {
		counter.Add(1)
		return
	}
	c.refused[otherCode].Add(1)
}

// ObserveResponse records the ratio of response, the time from a job's arrival to its
// answer, to ideal, the longest run time of its tasks. Jobs without a run time are
// ignored.
func (c *ContractMetrics) ObserveResponse(response, ideal time.Duration) {
	if ideal > 0 {
		c.responseRatio.Observe(float64(response) / float64(ideal))
	}
}

// responseRatioBuckets are the buckets of the ratio of response time to ideal time.
// The ratio can't be lower than 1.
var responseRatioBuckets = []float64{1.01, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10, 30, 100}

type contractVecs struct {
	offered, served, failed, unknown, started, refused *prometheus.CounterVec
	responseRatio                                      *prometheus.HistogramVec
}

func newContractVecs(f factory) contractVecs {
	const label = "contract"
	return contractVecs{
		offered:       f.counterVec("jobs_offered_total", "Jobs submitted.", label),
		served:        f.counterVec("jobs_served_total", "Jobs answered completely.", label),
		failed:        f.counterVec("jobs_failed_total", "Jobs that ran and were not completed.", label),
		unknown:       f.counterVec("jobs_unknown_total", "Jobs answered with outcome unknown.", label),
		started:       f.counterVec("tasks_dispatched_total", "Tasks sent to agents.", label),
		refused:       f.counterVec("jobs_refused_total", "Jobs answered as not run.", label, "reason"),
		responseRatio: f.histogramVec("job_response_ratio", "Response time over ideal of served jobs.", responseRatioBuckets, label),
	}
}

// newContract creates the series of a contract.
func (v contractVecs) newContract(name string) *ContractMetrics {
	c := &ContractMetrics{
		Offered:         &Counter{counter: v.offered.WithLabelValues(name)},
		Served:          &Counter{counter: v.served.WithLabelValues(name)},
		Failed:          v.failed.WithLabelValues(name),
		Unknown:         v.unknown.WithLabelValues(name),
		TasksDispatched: &Counter{counter: v.started.WithLabelValues(name)},
		refused:         make(map[jobs.Code]*Counter),
		responseRatio:   v.responseRatio.WithLabelValues(name),
	}
	for _, code := range refusalCodes {
		c.refused[code] = &Counter{counter: v.refused.WithLabelValues(name, string(code))}
	}
	c.refused[otherCode] = &Counter{counter: v.refused.WithLabelValues(name, otherCode)}
	return c
}

func (v contractVecs) remove(name string) {
	label := prometheus.Labels{"contract": name}
	for _, vec := range []*prometheus.CounterVec{v.offered, v.served, v.failed, v.unknown, v.started, v.refused} {
		vec.DeletePartialMatch(label)
	}
	v.responseRatio.DeletePartialMatch(label)
}

// contractCache holds the contracts with series of their own. Readers take no lock;
// writers replace the map.
type contractCache struct {
	mu     sync.Mutex
	byName atomic.Pointer[map[string]*ContractMetrics]
}

func (c *contractCache) load() map[string]*ContractMetrics {
	if m := c.byName.Load(); m != nil {
		return *m
	}
	return nil
}

// Contract returns the series of a configured contract. All other names share the
// series of OtherContract, so that a caller that sends made-up names can't exhaust
// the memory of the process or of the Prometheus server.
func (e *Entry) Contract(name string) *ContractMetrics {
	if c, ok := e.contracts.load()[name]; ok {
		return c
	}
	return e.otherContract
}

// ContractNames returns the sorted names of the contracts with series of their own.
func (e *Entry) ContractNames() []string { return slices.Sorted(maps.Keys(e.contracts.load())) }

// AddContract creates the series of a contract that came into force. It does
// nothing if they exist, if there are already MaxContracts contracts, or if name is
// OtherContract.
func (e *Entry) AddContract(name string) {
	if _, ok := e.contracts.load()[name]; ok {
		return
	}
	e.contracts.mu.Lock()
	defer e.contracts.mu.Unlock()
	old := e.contracts.load()
	if _, ok := old[name]; ok || len(old) >= MaxContracts || name == OtherContract {
		return
	}
	next := make(map[string]*ContractMetrics, len(old)+1)
	maps.Copy(next, old)
	next[name] = e.contractVecs.newContract(name)
	e.contracts.byName.Store(&next)
}

// RemoveContract removes the series of a deleted contract.
func (e *Entry) RemoveContract(name string) {
	e.contracts.mu.Lock()
	defer e.contracts.mu.Unlock()
	next := maps.Clone(e.contracts.load())
	if _, ok := next[name]; !ok {
		return
	}
	delete(next, name)
	e.contracts.byName.Store(&next)
	e.contractVecs.remove(name)
}
