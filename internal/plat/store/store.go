// Package store calls the platform's key-value service: compare-and-swap, leases and watches.
package store

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// Kinds of calls, as they are counted.
const (
	KindGet    meter.Kind = "Store.Get"
	KindList   meter.Kind = "Store.List"
	KindPut    meter.Kind = "Store.Put"
	KindDelete meter.Kind = "Store.Delete"
	KindGrant  meter.Kind = "Store.Grant"
	KindRenew  meter.Kind = "Store.Renew"
	KindWatch  meter.Kind = "Store.Watch"
)

// Limits of the service.
const (
	// MaxValue is the largest value, in bytes.
	MaxValue = 1 << 20
	// Absent is the version that a key has before it is created.
	Absent Version = 0
)

type (
	// Key names one value. Parts are separated by slashes.
	Key string
	// Version is the store-wide number of the write that last changed a key.
	Version uint64
	// LeaseID names a lease; zero means none. Keys written under a lease vanish when it lapses.
	LeaseID uint64
	// Nonce marks one write of one writer.
	Nonce string

	// Entry is a key with its value and version.
	Entry struct {
		Key     Key             `json:"Key"`
		Value   json.RawMessage `json:"Value,omitempty"`
		Version Version         `json:"Version"`
		Lease   LeaseID         `json:"Lease,omitempty"`
		// Deleted marks an entry of a watch whose key is gone.
		Deleted bool `json:"Deleted,omitempty"`
	}

	// Put is a compare-and-swap: it takes effect only while the key has the expected version.
	Put struct {
		Key    Key             `json:"Key"`
		Value  json.RawMessage `json:"Value"`
		Expect Version         `json:"Expect"`
		Lease  LeaseID         `json:"Lease,omitempty"`
	}

	// Page is the answer to List and Watch: entries in order of key or version, and the store's version.
	Page struct {
		Entries []Entry `json:"Entries"`
		Version Version `json:"Version"`
	}

	// Store is the platform's key-value service. Errors are of kind NotFound, Conflict,
	// Unavailable (no effect) or Lost (the effect is not known).
	Store interface {
		// Get reads one key.
		Get(ctx context.Context, key Key) (Entry, error)
		// List reads all keys that start with the prefix, in order.
		List(ctx context.Context, prefix Key) (Page, error)
		// Put writes one key by compare-and-swap.
		Put(ctx context.Context, put Put) (Entry, error)
		// Delete removes one key while it has the expected version.
		Delete(ctx context.Context, key Key, expect Version) error
		// Grant makes a lease that lapses unless it is renewed.
		Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
		// Renew extends a lease by its time to live; kind NotFound means that it lapsed.
		Renew(ctx context.Context, lease LeaseID) error
		// Watch waits until keys with the prefix change after the version, or until ctx ends,
		// and returns the changes; an empty page means that nothing changed.
		Watch(ctx context.Context, prefix Key, after Version) (Page, error)
	}

	// Record wraps a value with the nonce of the write, so that a lost answer can be settled.
	Record struct {
		Nonce Nonce           `json:"Nonce"`
		Body  json.RawMessage `json:"Body"`
	}
)

// Check returns an error when the key is empty or the value too large.
func (p *Put) Check() error {
	if p.Key == "" || strings.HasPrefix(string(p.Key), "/") {
		return errs.New(errs.Invalid, "Key %q must not be empty or start with a slash", p.Key)
	}
	if len(p.Value) > MaxValue {
		return errs.New(errs.TooLarge, "value of %s is over %d bytes", p.Key, MaxValue)
	}
	return nil
}

// Open reads the body of a Record that Commit wrote.
func Open(value json.RawMessage, into any) error {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return errs.New(errs.Internal, "record in the store is malformed: %v", err)
	}
	if err := json.Unmarshal(r.Body, into); err != nil {
		return errs.New(errs.Internal, "record body in the store is malformed: %v", err)
	}
	return nil
}

// Commit writes body as a Record by compare-and-swap. A lost answer is settled by reading the key
// back and comparing the nonce. The error is of kind Lost only when the read fails, too.
func Commit(ctx context.Context, s Store, put Put, body any) (Entry, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Entry{}, errs.New(errs.Internal, "encoding %s: %v", put.Key, err)
	}
	nonce := Nonce(uuid.NewString())
	put.Value, err = json.Marshal(Record{Nonce: nonce, Body: encoded})
	if err != nil {
		return Entry{}, errs.New(errs.Internal, "encoding %s: %v", put.Key, err)
	}
	entry, err := s.Put(ctx, put)
	if !errs.Is(err, errs.Lost) {
		return entry, err
	}
	return resolveInDoubt(ctx, s, put, nonce)
}

func resolveInDoubt(ctx context.Context, s Store, put Put, nonce Nonce) (Entry, error) {
	entry, err := s.Get(ctx, put.Key)
	if errs.Is(err, errs.NotFound) {
		return Entry{}, errs.New(errs.Conflict, "%s was not written", put.Key)
	}
	if err != nil {
		return Entry{}, errs.New(errs.Lost, "answer for %s was lost and reading it back failed: %v", put.Key, err)
	}
	var r Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Entry{}, errs.New(errs.Internal, "record %s is malformed: %v", put.Key, err)
	}
	if r.Nonce != nonce {
		return entry, errs.New(errs.Conflict, "%s was changed by another writer", put.Key)
	}
	return entry, nil
}
