package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]*item
	history  []item
	leases   map[int64]*storeLease
	last     int64
	changed  chan struct{}
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	AsOf      uint64 `json:"as_of,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{revision: 1, items: map[string]*item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
}

func (s *store) serve() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /papayahoist/kv-key", s.get)
	mux.HandleFunc("GET /papayahoist/kv-range", s.list)
	mux.HandleFunc("GET /papayahoist/kv-watch", s.watch)
	mux.HandleFunc("POST /papayahoist/kv-txn", s.commit)
	mux.HandleFunc("POST /papayahoist/kv-lease", s.grant)
	mux.HandleFunc("POST /papayahoist/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /papayahoist/kv-lease-end/{id}", s.endLease)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

// operatorPut writes a key as the operator does.
func (s *store) operatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
}

func (s *store) put(key string, value []byte, lease int64) {
	i := &item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old := s.items[key]; old != nil {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, *i)
}

func (s *store) remove(key string) {
	if s.items[key] != nil {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[r.URL.Query().Get("key")]
	if i == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	out := *i
	out.AsOf = s.revision
	answer(w, http.StatusOK, out)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, *s.items[key])
		}
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-end:
				over = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range b.Precondition {
		at := uint64(0)
		if i := s.items[c.Key]; i != nil {
			at = i.Revision
		}
		if at != c.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, p := range b.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range b.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range b.Deletes {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	id, ttl := s.last, time.Duration(b.TTL)*time.Millisecond
	s.leases[id] = &storeLease{ttl, time.AfterFunc(ttl, func() { s.expire(id) })}
	answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": b.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.timer.Reset(l.ttl)
	answer(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if !s.expire(id) {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *store) expire(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.remove(key)
		}
	}
	s.notify()
	return true
}

// has reports whether a key exists.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key] != nil
}
