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

const (
	// pageItems is the largest number of items in one answer to /kv-range.
	pageItems = 500
	// retention is how long the store keeps its history.
	retention = 20 * time.Second
	minTTL    = time.Second
	// answerTime is how long an answer takes.
	answerTime = 4 * time.Millisecond
)

type (
	// item is a key of the store, or the removal of one.
	item struct {
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Rev     uint64 `json:"rev"`
		Created uint64 `json:"created,omitempty"`
		Lease   uint64 `json:"lease"`
		Removed bool   `json:"removed,omitempty"`
		at      time.Time
	}

	lease struct {
		ttl   time.Duration
		until time.Time
	}

	// store is the platform's metadata store.
	store struct {
		mu      sync.Mutex
		rev     uint64
		items   map[string]item
		history []item
		// forgotten is the revision up to which the history is gone.
		forgotten uint64
		leases    map[uint64]*lease
		nextLease uint64
		changed   chan struct{}
	}

	condition struct {
		Key string `json:"key"`
		Rev uint64 `json:"rev"`
	}

	txn struct {
		Precondition []condition `json:"precondition"`
		Writes       []item      `json:"writes"`
		Remove       []string    `json:"remove"`
	}
)

func newStore() *store {
	s := &store{
		rev: 100, items: make(map[string]item), leases: make(map[uint64]*lease), nextLease: 1,
		changed: make(chan struct{}),
	}
	go s.expireLoop()
	return s
}

// handler returns the HTTP interface of the store.
func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.served(s.get))
	m.HandleFunc("GET /kv-range", s.served(s.list))
	m.HandleFunc("GET /kv-watch", s.served(s.watch))
	m.HandleFunc("POST /kv-txn", s.served(s.apply))
	m.HandleFunc("POST /kv-lease", s.served(s.grant))
	m.HandleFunc("POST /kv-keep/{id}", s.served(s.keep))
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.served(s.end))
	return m
}

// served answers a call after answerTime.
func (s *store) served(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		next(w, r)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.items[r.URL.Query().Get("key")]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"key": found.Key, "value": found.Value, "rev": found.Rev, "created": found.Created, "lease": found.Lease, "store-revision": rev,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := false
	bytes := 0
	for n := range items {
		bytes += len(items[n].Value)
		if n == pageItems || (n > 0 && bytes > 1<<20) {
			items, more = items[:n], true
			break
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "store-revision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-timeout-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.history {
			if e.Rev > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) apply(w http.ResponseWriter, r *http.Request) {
	var t txn
	if !readJSON(w, r, &t) {
		return
	}
	if len(t.Precondition)+len(t.Writes)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	found := []item{}
	for _, c := range t.Precondition {
		i := s.items[c.Key]
		holds = holds && i.Rev == c.Rev
		if i.Rev != 0 {
			found = append(found, i)
		}
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": found})
		return
	}
	for _, put := range t.Writes {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if len(put.Value) > 1048576 || len(put.Key) > 200 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.change(t.Writes, t.Remove)
	writeJSON(w, http.StatusOK, map[string]any{"rev": s.rev})
}

// change makes one revision. The caller must hold s.mu.
func (s *store) change(writes []item, removes []string) {
	s.rev++
	now := time.Now()
	for _, put := range writes {
		created := s.rev
		if former, ok := s.items[put.Key]; ok {
			created = former.Created
		}
		i := item{Key: put.Key, Value: put.Value, Rev: s.rev, Created: created, Lease: put.Lease, at: now}
		s.items[put.Key] = i
		s.history = append(s.history, i)
	}
	for _, key := range removes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Rev: s.rev, Removed: true, at: now})
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > retention {
		s.forgotten = s.history[0].Rev
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a runner does.
func (s *store) put(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change([]item{{Key: key, Value: body}}, nil)
}

// remove removes a key as the platform does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(nil, []string{key})
}

// read returns the value of a key.
func (s *store) read(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	ttl := max(time.Duration(body.TTL)*time.Millisecond, minTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextLease
	s.nextLease++
	s.leases[id] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	writeJSON(w, http.StatusOK, map[string]any{})
}

// endLease removes a lease and its keys. The caller must hold s.mu.
func (s *store) endLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.change(nil, keys)
	}
}

func (s *store) expireLoop() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}
