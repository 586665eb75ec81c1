//go:build review

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

// item is one key of the store, or the removal of one in a watch.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"created,omitempty"`
	Lease   uint64 `json:"lease,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is a stand-in of the platform's metadata store. It keeps all history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	leases  map[uint64]*lease
	changed chan struct{}
	// readers holds when op/config was last watched through each address of the store.
	readers map[string]time.Time
}

func newStore() *store {
	s := &store{rev: 100, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), readers: map[string]time.Time{}}
	go s.expireLoop()
	return s
}

// put writes a key as the operator or a runner does.
func (s *store) put(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, body, 0)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	s.drop(key)
	s.notify()
}

func (s *store) write(key string, value []byte, lease uint64) {
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Rev: s.rev, Created: created, Lease: lease}
	s.history = append(s.history, s.items[key])
}

func (s *store) drop(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Removed: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLoop() {
	for range time.Tick(20 * time.Millisecond) {
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

// endLease removes a lease with its keys. The caller must hold s.mu.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		s.get(w, q.Get("key"))
	case r.URL.Path == "/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-timeout-ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/kv-txn":
		s.apply(w, r)
	case r.URL.Path == "/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		s.keep(w, strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	const pageItems = 500
	s.mu.Lock()
	out := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": out[:min(len(out), pageItems)], "has-more": more, "store-revision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	if prefix == "op/config" {
		s.noteReader(r.Host)
	}
	end := time.After(wait)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": rev})
			return
		}
	}
}

func (s *store) apply(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []item   `json:"precondition"`
		Writes       []item   `json:"writes"`
		Remove       []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Precondition)+len(t.Writes)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, holds := []item{}, true
	for _, c := range t.Precondition {
		present, ok := s.items[c.Key]
		if !ok {
			present = item{Key: c.Key}
		}
		found = append(found, present)
		holds = holds && present.Rev == c.Rev
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": found})
		return
	}
	for _, i := range t.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, i := range t.Writes {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.drop(key)
		}
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.rev] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.rev, "ttl-ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, name string) {
	id, _ := strconv.ParseUint(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

// noteReader notes that op/config is watched through an address.
func (s *store) noteReader(address string) {
	host, _, _ := strings.Cut(address, ":")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers[host] = time.Now()
}

// lastReader returns the address through which op/config was watched last.
func (s *store) lastReader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := ""
	for host, at := range s.readers {
		if last == "" || at.After(s.readers[last]) {
			last = host
		}
	}
	return last
}
