package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host   = "desk.example"
	prefix = "/jobs/"
)

func (s *site) configure(version uint64, routes ...map[string]any) {
	if len(routes) == 0 {
		routes = []map[string]any{route("jobs", prefix, s.service)}
	}
	text, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": s.service, "connection_limit": 64, "enforces_capacity": false}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.store.operatorPut("op/config", text)
	s.record.log("operator: version %d, %d bytes, %d routes", version, len(text), len(routes))
}

func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "service": service, "timeout_ms": 15000, "target_latency_ms": 60,
		"priority": 0, "attempts": 3, "stretch": 1.6,
	}
}

type jobStep struct {
	Count     int   `json:"count"`
	CPU       int64 `json:"cpu"`
	Memory    int64 `json:"task_memory_mb"`
	Estimated int64 `json:"estimated_ms"`
	After     []int `json:"after,omitempty"`
	// AntiAffinity is how many tasks of the step may run on one worker; zero: any number.
	AntiAffinity int `json:"anti_affinity,omitempty"`
}

type jobBody struct {
	Spec       string    `json:"specification"`
	BestEffort bool      `json:"best_effort"`
	Steps      []jobStep `json:"steps"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answered is a client's view of the end of one request.
type answered struct {
	status int // zero: no answer
	body   string
	err    error
	at     time.Time
}

func (a answered) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %s", a.status, a.body)
}

// send makes one request over a channel of its own.
func (s *site) send(ctx context.Context, method, address, path string, body any, deadline time.Duration) answered {
	var in io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		in = strings.NewReader(string(text))
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, in)
	if err != nil {
		return answered{err: err, at: time.Now()}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Milliseconds", strconv.FormatInt(deadline.Milliseconds(), 10))
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return answered{err: err, at: time.Now()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answered{status: resp.StatusCode, body: string(text), err: err, at: time.Now()}
}

// submit hands a job in at the entries in turn, as clients do: after no answer, a broken channel, a
// 502 or a 504, the job is sent again resendAfter later.
func (s *site) submit(id string, body jobBody, deadline time.Duration, tries []*entryProcess, quiet bool) answered {
	var a answered
	for _, e := range tries {
		if !quiet {
			s.record.log("client: POST %s to %s", id, e.name)
		}
		a = s.send(context.Background(), http.MethodPost, e.callers, prefix+id, body, deadline)
		if !quiet {
			s.record.logAt(a.at, "client: POST %s to %s: %s", id, e.name, a)
		}
		if a.err == nil && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return a
		}
		time.Sleep(time.Until(a.at.Add(resendAfter)))
	}
	return a
}

// load is a steady stream of short jobs.
type load struct {
	mu      sync.Mutex
	sent    int
	served  int
	stopped chan struct{}
	wg      sync.WaitGroup
}

// startLoad sends jobs of two tasks of 200 ms each to all entries, until stop is called.
func (s *site) startLoad(perSecond float64) *load {
	l := &load{stopped: make(chan struct{})}
	body := jobBody{Spec: spec(200*time.Millisecond, 1600), BestEffort: true, Steps: []jobStep{{Count: 2, CPU: 1600, Memory: 64, Estimated: 200}}}
	l.wg.Go(func() {
		t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.C:
			case <-l.stopped:
				return
			}
			e := s.entries[n%len(s.entries)]
			other := s.entries[(n+1)%len(s.entries)]
			l.wg.Go(func() {
				a := s.submit(newID(), body, 1500*time.Millisecond, []*entryProcess{e, other}, true)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.sent++
				if a.status == http.StatusOK {
					l.served++
				}
			})
		}
	})
	return l
}

func (l *load) stop() (sent, served int) {
	close(l.stopped)
	l.wg.Wait()
	return l.sent, l.served
}

// ready waits until every entry serves jobs, and most workers have run one.
func (s *site) ready() error {
	end := time.Now().Add(15 * time.Second)
	body := jobBody{Spec: spec(20*time.Millisecond, 1600), BestEffort: true, Steps: []jobStep{{Count: 2, CPU: 1600, Memory: 64, Estimated: 20}}}
	for _, e := range s.entries {
		for {
			a := s.send(context.Background(), http.MethodPost, e.callers, prefix+newID(), body, time.Second)
			if a.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s serves nothing: %s", e.name, a)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for time.Now().Before(end) {
		used := map[string]bool{}
		for _, r := range s.runs.all() {
			used[r.worker] = true
		}
		if len(used) >= (2*len(s.agents)+2)/3 {
			return nil
		}
		for _, e := range s.entries {
			_ = s.send(context.Background(), http.MethodPost, e.callers, prefix+newID(), body, time.Second)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("most workers are not in use")
}
