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
	// retention is how long the store keeps its history.
	retention = 20 * time.Second
	// serverTimeout is the silence after which the entry of a runner is removed: three heartbeat intervals of 1.5 s.
	serverTimeout = 4500 * time.Millisecond
	// pageItems is the largest number of items in one page.
	pageItems = 500
	// platformHeader marks the calls of the operator and of the runners, which alone may write under op/ and servers/.
	platformHeader = "X-Platform-Writer"
)

type (
	item struct {
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Rev     uint64 `json:"rev"`
		Created uint64 `json:"created,omitempty"`
		Lease   uint64 `json:"lease,omitempty"`
		Removed bool   `json:"removed,omitempty"`
	}

	change struct {
		item item
		at   time.Time
	}

	storeLease struct {
		ttl time.Duration
		end time.Time
	}

	// metaStore is the platform's metadata store, as the pages describe it.
	metaStore struct {
		mu        sync.Mutex
		rev       uint64
		items     map[string]item
		history   []change
		firstRev  uint64
		leases    map[uint64]*storeLease
		nextLease uint64
		changed   chan struct{}
		heardOf   map[string]time.Time
	}
)

func newStore() *metaStore {
	s := &metaStore{
		rev: 1, firstRev: 1, items: make(map[string]item), leases: make(map[uint64]*storeLease),
		changed: make(chan struct{}), heardOf: make(map[string]time.Time),
	}
	go s.expireLoop()
	return s
}

func (s *metaStore) expireLoop() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLease(id)
			}
		}
		for key, at := range s.heardOf {
			if now.Sub(at) > serverTimeout {
				delete(s.heardOf, key)
				s.remove(key)
			}
		}
		for len(s.history) > 0 && now.Sub(s.history[0].at) > retention {
			s.firstRev = s.history[0].item.Rev
			s.history = s.history[1:]
		}
		s.mu.Unlock()
	}
}

func (s *metaStore) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *metaStore) note(it item) {
	s.history = append(s.history, change{item: it, at: time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *metaStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.rev++
	s.note(item{Key: key, Rev: s.rev, Removed: true})
}

// put writes a key as the operator or a runner does.
func (s *metaStore) put(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(item{Key: key, Value: body})
}

// write stores an item under the present revision.
func (s *metaStore) write(it item) {
	it.Rev, it.Created = s.rev, s.rev
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	if strings.HasPrefix(it.Key, "servers/") {
		s.heardOf[it.Key] = time.Now()
	}
	s.note(it)
}

func (s *metaStore) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.getKey)
	m.HandleFunc("GET /kv-range", s.getRange)
	m.HandleFunc("GET /kv-watch", s.watch)
	m.HandleFunc("POST /kv-txn", s.txn)
	m.HandleFunc("POST /kv-lease", s.grant)
	m.HandleFunc("POST /kv-keep/{id}", s.keep)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.leaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		m.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *metaStore) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, it)
}

func (s *metaStore) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": found, "has-more": more, "store-revision": rev})
}

func (s *metaStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait-timeout-ms"), 10, 64)
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.firstRev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, c := range s.history {
			if c.item.Rev > after && strings.HasPrefix(c.item.Key, prefix) {
				events = append(events, c.item)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": rev})
			return
		}
	}
}

func (s *metaStore) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []item   `json:"precondition"`
		Writes       []item   `json:"writes"`
		Remove       []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.Writes)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range t.Writes {
		isReserved := strings.HasPrefix(it.Key, "op/") || strings.HasPrefix(it.Key, "servers/")
		if isReserved && r.Header.Get(platformHeader) == "" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[it.Lease]; it.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	holds := true
	present := []item{}
	for _, c := range t.Precondition {
		it, ok := s.items[c.Key]
		if it.Rev != c.Rev {
			holds = false
		}
		if ok {
			present = append(present, it)
		}
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	s.rev++
	for _, it := range t.Writes {
		s.write(it)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.note(item{Key: key, Rev: s.rev, Removed: true})
		}
		delete(s.heardOf, key)
	}
	answer(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *metaStore) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
}

func (s *metaStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": l.ttl.Milliseconds()})
}

func (s *metaStore) leaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
