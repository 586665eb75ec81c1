// Package store is a client of the platform's key-value store, with compare-and-swap, leases and watches. It also
// contains an in-memory store, which is the stand-in for the service.
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

// Kinds under which calls are counted.
const (
	KindGet    meter.Kind = "Store.Get"
	KindList   meter.Kind = "Store.List"
	KindPut    meter.Kind = "Store.Put"
	KindDelete meter.Kind = "Store.Delete"
	KindGrant  meter.Kind = "Store.Grant"
	KindRenew  meter.Kind = "Store.Renew"
	KindWatch  meter.Kind = "Store.Watch"
)

// Largest value and lowest version.
const (
	// MaxValue is the size limit of a value, in bytes.
	MaxValue = 1 << 20
	// Absent is the version of a key that does not exist.
	Absent Version = 0
)

type (
	// Key identifies one value. Its parts are separated by slashes.
	Key string
	// Version is the store-wide number of the write that last changed a key.
	Version uint64
	// LeaseID identifies a lease; zero means none. Keys that were written under a lease are deleted when it expires.
	LeaseID uint64
	// Nonce identifies one write, so that its writer recognises it.
	Nonce string

	// Entry is a key with its value and version.
	Entry struct {
		Key     Key             `json:"Key"`
		Value   json.RawMessage `json:"Value,omitempty"`
		Version Version         `json:"Version"`
		Lease   LeaseID         `json:"Lease,omitempty"`
		// Deleted is set in the answer to Watch for a key that was deleted.
		Deleted bool `json:"Deleted,omitempty"`
	}

	// Put is a compare-and-swap write: it takes effect only if the key has the expected version.
	Put struct {
		Key    Key             `json:"Key"`
		Value  json.RawMessage `json:"Value"`
		Expect Version         `json:"Expect"`
		Lease  LeaseID         `json:"Lease,omitempty"`
	}

	// Page is the answer to List (entries ordered by key) and Watch (ordered by version), with the store's version.
	Page struct {
		Entries []Entry `json:"Entries"`
		Version Version `json:"Version"`
	}

	// Store is the platform's key-value store. Errors are of kind Invalid or TooLarge (the put is malformed),
	// NotFound, Conflict (the key does not have the expected version), Unavailable (no effect) or Lost (the effect
	// is not known).
	Store interface {
		// Get returns the entry of a key; kind NotFound means that the key does not exist.
		Get(ctx context.Context, key Key) (Entry, error)
		// List returns the entries of all keys that start with the prefix, ordered by key.
		List(ctx context.Context, prefix Key) (Page, error)
		// Put writes one key by compare-and-swap and returns the new entry.
		Put(ctx context.Context, put Put) (Entry, error)
		// Delete deletes one key if it has the expected version.
		Delete(ctx context.Context, key Key, expect Version) error
		// Grant creates a lease that expires after ttl unless it is renewed.
		Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
		// Renew extends a lease to its full time to live, counted from now; kind NotFound means that it has expired.
		Renew(ctx context.Context, lease LeaseID) error
		// Watch waits until keys with the prefix change after the version, or until ctx or a time limit of
		// the implementation ends, and returns the changes; an empty page means that nothing changed.
		Watch(ctx context.Context, prefix Key, after Version) (Page, error)
	}

	// Record wraps a value with the nonce of its write, by which a write whose answer was lost is resolved.
	Record struct {
		Nonce Nonce           `json:"Nonce"`
		Body  json.RawMessage `json:"Body"`
	}
)

// Check returns an error if the key is empty or starts with a slash, or if the value is over MaxValue.
func (p *Put) Check() error {
	if p.Key == "" || strings.HasPrefix(string(p.Key), "/") {
		return errs.New(errs.Invalid, "Key %q must not be empty or start with a slash", p.Key)
	}
	if len(p.Value) > MaxValue {
		return errs.New(errs.TooLarge, "value of %s is over %d bytes", p.Key, MaxValue)
	}
	return nil
}

// DecodeRecord decodes the body of a Record that Commit wrote.
func DecodeRecord(value json.RawMessage, into any) error {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return errs.New(errs.Internal, "record in the store is malformed: %v", err)
	}
	if err := json.Unmarshal(r.Body, into); err != nil {
		return errs.New(errs.Internal, "record body in the store is malformed: %v", err)
	}
	return nil
}

// Commit writes body as a Record by compare-and-swap. If the answer is lost, it reads the key back and compares
// the nonce to find out whether the write took effect. The error is of kind Lost only if that read fails, too.
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

// resolveInDoubt returns the result of a put whose answer was lost.
func resolveInDoubt(ctx context.Context, s Store, put Put, nonce Nonce) (Entry, error) {
	entry, err := s.Get(ctx, put.Key)
	if errs.Is(err, errs.NotFound) {
		return Entry{}, errs.New(errs.Conflict, "%s does not exist after a put whose answer was lost", put.Key)
	}
	if err != nil {
		return Entry{}, errs.New(errs.Lost, "the answer to the put of %s was lost and reading the key back failed: %v", put.Key, err)
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
