package store

import (
	"context"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	// KindApply is the meter's kind of calls to Apply.
	KindApply meter.Kind = "Store.Apply"
	// MaxBatch is the maximum number of conditions, puts and deletes of one batch, taken together.
	MaxBatch = 32
)

type (
	// Condition requires that a key has the given version; version Absent requires that it does not exist.
	Condition struct {
		Key    Key     `json:"Key"`
		Expect Version `json:"Expect"`
	}

	// Batch is a set of changes that are applied atomically, and only if every condition holds. The field
	// Expect of its puts is ignored.
	Batch struct {
		Conditions []Condition `json:"Conditions"`
		Puts       []Put       `json:"Puts"`
		Deletes    []Key       `json:"Deletes"`
	}

	// Outcome is the answer to a batch. If the batch was applied, Version is the version of its writes;
	// otherwise Found holds the current entries of the conditions' keys, without keys that do not exist.
	Outcome struct {
		Applied bool    `json:"Applied"`
		Version Version `json:"Version"`
		Found   []Entry `json:"Found"`
	}

	// Batcher is a store that can change several keys atomically.
	Batcher interface {
		Store
		// Apply applies the batch if its conditions hold; that they don't is not an error. An error of kind
		// NotFound means that a lease of the batch has expired, Unavailable that nothing was done, Lost
		// that the effect is not known.
		Apply(ctx context.Context, batch Batch) (Outcome, error)
	}
)

// Check returns an error if the batch is empty, has more than MaxBatch entries or contains an invalid put.
func (b *Batch) Check() error {
	size := len(b.Conditions) + len(b.Puts) + len(b.Deletes)
	if size == 0 || size > MaxBatch {
		return errs.New(errs.Invalid, "a batch must have 1 to %d conditions, puts and deletes, has %d", MaxBatch, size)
	}
	for i := range b.Puts {
		if err := b.Puts[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Find returns the entry in Found that has the given key, or an entry of version Absent if there is none.
func (o Outcome) Find(key Key) Entry {
	for _, e := range o.Found {
		if e.Key == key {
			return e
		}
	}
	return Entry{Key: key}
}

// Apply implements Batcher.
func (v *view) Apply(ctx context.Context, batch Batch) (Outcome, error) {
	if err := batch.Check(); err != nil {
		return Outcome{}, err
	}
	sent := 0
	for _, p := range batch.Puts {
		if err := v.memory.Faults.BeforeWrite(string(p.Key)); err != nil {
			return Outcome{}, err
		}
		sent += len(p.Key) + len(p.Value)
	}
	var out Outcome
	err := v.runCall(ctx, KindApply, sent, func() (int, error) {
		v.memory.mu.Lock()
		defer v.memory.mu.Unlock()
		v.memory.expireLeases()
		var err error
		out, err = v.memory.applyBatch(batch)
		return 0, err
	})
	return out, err
}

// applyBatch applies a batch. The caller must hold m.mu.
func (m *Memory) applyBatch(batch Batch) (Outcome, error) {
	allHold := true
	var found []Entry
	for _, c := range batch.Conditions {
		entry, ok := m.entries[c.Key]
		if ok {
			found = append(found, entry)
		}
		allHold = allHold && entry.Version == c.Expect
	}
	if !allHold {
		return Outcome{Found: found}, nil
	}
	for _, p := range batch.Puts {
		if _, ok := m.leases[p.Lease]; !ok && p.Lease != 0 {
			return Outcome{}, errs.New(errs.NotFound, "lease %d has expired", p.Lease)
		}
	}
	m.version++
	for _, p := range batch.Puts {
		entry := Entry{Key: p.Key, Value: append([]byte(nil), p.Value...), Version: m.version, Lease: p.Lease}
		m.entries[p.Key] = entry
		m.appendHistory(entry)
	}
	for _, key := range batch.Deletes {
		if _, ok := m.entries[key]; ok {
			delete(m.entries, key)
			m.appendHistory(Entry{Key: key, Version: m.version, Deleted: true})
		}
	}
	return Outcome{Applied: true, Version: m.version}, nil
}
