package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/fault"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// maxHistoryEntries is the number of changes beyond which the older half of the history is removed.
const maxHistoryEntries = 4096

type (
	// Memory is an in-memory store into whose calls Faults injects faults. It is safe for concurrent use.
	Memory struct {
		Faults *fault.Plan

		mu        sync.Mutex
		clock     clockwork.Clock
		region    types.Region
		entries   map[Key]Entry
		leases    map[LeaseID]lease
		version   Version
		lastLease LeaseID
		history   []Entry
		changed   chan struct{}
	}

	lease struct {
		ttl       time.Duration
		expiresAt time.Time
	}

	// view is the store as seen by one caller.
	view struct {
		memory *Memory
		from   types.DataCentre
		meter  *meter.Meter
	}
)

// NewMemory returns an empty store that is located in the region.
func NewMemory(clock clockwork.Clock, region types.Region) *Memory {
	return &Memory{
		Faults:  fault.New(clock),
		clock:   clock,
		region:  region,
		entries: make(map[Key]Entry),
		leases:  make(map[LeaseID]lease),
		changed: make(chan struct{}),
	}
}

// As returns the store as seen by a caller in the data centre, whose calls are counted by the meter.
func (m *Memory) As(from types.DataCentre, calls *meter.Meter) Store {
	return &view{memory: m, from: from, meter: calls}
}

// runCall runs effect under the faults that are set, and counts the call. Effect returns the number of bytes read.
func (v *view) runCall(ctx context.Context, kind meter.Kind, sent int, effect func() (int, error)) error {
	read := 0
	err := v.memory.Faults.Before(ctx, v.from)
	if err == nil {
		read, err = effect()
		if lost := v.memory.Faults.After(); lost != nil {
			err = lost
		}
	}
	v.meter.Count(meter.Sample{Kind: kind, Remote: v.memory.region, Sent: sent, Read: read, Failed: err != nil})
	return err
}

// Get implements Store.
func (v *view) Get(ctx context.Context, key Key) (Entry, error) {
	var out Entry
	err := v.runCall(ctx, KindGet, len(key), func() (int, error) {
		v.memory.mu.Lock()
		defer v.memory.mu.Unlock()
		v.memory.expireLeases()
		entry, ok := v.memory.entries[key]
		if !ok {
			return 0, errs.New(errs.NotFound, "key %s does not exist", key)
		}
		out = entry
		return len(entry.Value), nil
	})
	return out, err
}

// List implements Store.
func (v *view) List(ctx context.Context, prefix Key) (Page, error) {
	var out Page
	err := v.runCall(ctx, KindList, len(prefix), func() (int, error) {
		v.memory.mu.Lock()
		defer v.memory.mu.Unlock()
		v.memory.expireLeases()
		out = v.memory.listPrefix(prefix)
		return sizeOf(out), nil
	})
	return out, err
}

// Put implements Store.
func (v *view) Put(ctx context.Context, put Put) (Entry, error) {
	if err := put.Check(); err != nil {
		return Entry{}, err
	}
	var out Entry
	err := v.runCall(ctx, KindPut, len(put.Key)+len(put.Value), func() (int, error) {
		v.memory.mu.Lock()
		defer v.memory.mu.Unlock()
		v.memory.expireLeases()
		var err error
		out, err = v.memory.put(put)
		return 0, err
	})
	return out, err
}

// Delete implements Store. Deleting a key that does not exist with version Absent does nothing.
func (v *view) Delete(ctx context.Context, key Key, expect Version) error {
	return v.runCall(ctx, KindDelete, len(key), func() (int, error) {
		v.memory.mu.Lock()
		defer v.memory.mu.Unlock()
		v.memory.expireLeases()
		if v.memory.entries[key].Version != expect {
			return 0, errs.New(errs.Conflict, "key %s is not at version %d", key, expect)
		}
		if expect != Absent {
			v.memory.removeKey(key)
		}
		return 0, nil
	})
}

// Grant implements Store.
func (v *view) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var out LeaseID
	err := v.runCall(ctx, KindGrant, 0, func() (int, error) {
		v.memory.mu.Lock()
		defer v.memory.mu.Unlock()
		v.memory.lastLease++
		out = v.memory.lastLease
		v.memory.leases[out] = lease{ttl: ttl, expiresAt: v.memory.clock.Now().Add(ttl)}
		return 0, nil
	})
	return out, err
}

// Renew implements Store.
func (v *view) Renew(ctx context.Context, id LeaseID) error {
	return v.runCall(ctx, KindRenew, 0, func() (int, error) {
		v.memory.mu.Lock()
		defer v.memory.mu.Unlock()
		v.memory.expireLeases()
		held, ok := v.memory.leases[id]
		if !ok {
			return 0, errs.New(errs.NotFound, "lease %d has expired", id)
		}
		held.expiresAt = v.memory.clock.Now().Add(held.ttl)
		v.memory.leases[id] = held
		return 0, nil
	})
}

// Watch implements Store. However long it waits, it is counted as one call.
func (v *view) Watch(ctx context.Context, prefix Key, after Version) (Page, error) {
	var out Page
	err := v.runCall(ctx, KindWatch, len(prefix), func() (int, error) {
		for {
			page, changed := v.memory.changesSince(prefix, after)
			if len(page.Entries) > 0 || ctx.Err() != nil {
				out = page
				return sizeOf(page), nil
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	})
	return out, err
}

// EndLeases ends the leases to which the keys are bound, and removes all keys that are bound to them.
func (m *Memory) EndLeases(keys ...Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range keys {
		if id := m.entries[key].Lease; id != 0 {
			delete(m.leases, id)
			m.removeLeasedKeys(id)
		}
	}
}

// ExtendLeases extends all leases, as a store does that pauses them while it is down.
func (m *Memory) ExtendLeases(by time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, held := range m.leases {
		held.expiresAt = held.expiresAt.Add(by)
		m.leases[id] = held
	}
}

// LastVersion returns the version of the latest change.
func (m *Memory) LastVersion() Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// put writes one key. The caller must hold m.mu.
func (m *Memory) put(put Put) (Entry, error) {
	if m.entries[put.Key].Version != put.Expect {
		return m.entries[put.Key], errs.New(errs.Conflict, "key %s is not at version %d", put.Key, put.Expect)
	}
	if _, ok := m.leases[put.Lease]; !ok && put.Lease != 0 {
		return Entry{}, errs.New(errs.NotFound, "lease %d has expired", put.Lease)
	}
	m.version++
	entry := Entry{Key: put.Key, Value: append([]byte(nil), put.Value...), Version: m.version, Lease: put.Lease}
	m.entries[put.Key] = entry
	m.appendHistory(entry)
	return entry, nil
}

// removeKey deletes a key under a new version. The caller must hold m.mu.
func (m *Memory) removeKey(key Key) {
	m.version++
	delete(m.entries, key)
	m.appendHistory(Entry{Key: key, Version: m.version, Deleted: true})
}

// appendHistory adds a change to the history and wakes all watches. The caller must hold m.mu.
func (m *Memory) appendHistory(entry Entry) {
	m.history = append(m.history, entry)
	if len(m.history) > maxHistoryEntries {
		m.history = append([]Entry(nil), m.history[len(m.history)-maxHistoryEntries/2:]...)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// expireLeases removes the leases that have expired, with their keys. The caller must hold m.mu.
func (m *Memory) expireLeases() {
	now := m.clock.Now()
	for id, held := range m.leases {
		if now.Before(held.expiresAt) {
			continue
		}
		delete(m.leases, id)
		m.removeLeasedKeys(id)
	}
}

func (m *Memory) removeLeasedKeys(id LeaseID) {
	for key, entry := range m.entries {
		if entry.Lease == id {
			m.removeKey(key)
		}
	}
}

// listPrefix returns the entries whose keys start with the prefix, ordered by key. The caller must hold m.mu.
func (m *Memory) listPrefix(prefix Key) Page {
	page := Page{Version: m.version}
	for key, entry := range m.entries {
		if strings.HasPrefix(string(key), string(prefix)) {
			page.Entries = append(page.Entries, entry)
		}
	}
	sort.Slice(page.Entries, func(i, j int) bool { return page.Entries[i].Key < page.Entries[j].Key })
	return page
}

// changesSince returns the changes after a version, and a channel that is closed at the next change. If the
// history no longer reaches back to the version, it returns all current entries under the prefix instead.
func (m *Memory) changesSince(prefix Key, after Version) (Page, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if len(m.history) > 0 && m.history[0].Version > after+1 && after < m.version {
		return m.listPrefix(prefix), m.changed
	}
	page := Page{Version: m.version}
	for _, entry := range m.history {
		if entry.Version > after && strings.HasPrefix(string(entry.Key), string(prefix)) {
			page.Entries = append(page.Entries, entry)
		}
	}
	return page, m.changed
}

// sizeOf returns the total size of keys and values in bytes.
func sizeOf(page Page) int {
	n := 0
	for _, entry := range page.Entries {
		n += len(entry.Key) + len(entry.Value)
	}
	return n
}
