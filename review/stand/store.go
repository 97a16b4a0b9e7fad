package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store, kept in memory.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[int64]*storeLease
	last     int64
	changed  chan struct{}
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	AsOf      uint64 `json:"as_of,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	s := &store{revision: 10, items: map[string]storeItem{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			delete(s.items, key)
			s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text, 0)
	s.notify()
}

// putTogether writes keys as the operator does, in one transaction.
func (s *store) putTogether(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, key := range keys {
		s.write(key, []byte("{}"), 0)
	}
	s.notify()
}

func (s *store) write(key string, value []byte, lease int64) {
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/papayahoist/")
	switch {
	case path == "kv-key":
		s.mu.Lock()
		i, ok := s.items[r.URL.Query().Get("key")]
		i.AsOf = s.revision
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, i)
	case path == "kv-range":
		s.list(w, r)
	case path == "kv-watch":
		s.watch(w, r)
	case path == "kv-txn":
		s.txn(w, r)
	case path == "kv-lease":
		var b struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&b)
		b.TTL = min(max(b.TTL, 1000), 600000)
		s.mu.Lock()
		s.last++
		id := s.last
		ttl := time.Duration(b.TTL) * time.Millisecond
		s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": b.TTL})
	case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		l.end = time.Now().Add(l.ttl)
		if r.Method == http.MethodDelete {
			s.endLease(id)
		}
		answer(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	answer(w, http.StatusOK, map[string]any{"items": found, "has_more": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
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
		if s.items[c.Key].Revision != c.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{s.items[c.Key]}})
			return
		}
	}
	for _, p := range b.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range b.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range b.Deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	s.notify()
	answer(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

// has reports whether there is a key.
func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}
