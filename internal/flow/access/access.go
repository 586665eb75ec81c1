// Package access decides whether a call may be served: from the key that it carries, the catalog that this daemon holds, and
// the age of the daemon's knowledge that the store has no newer catalog. It makes no calls.
package access

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

const (
	// MinRevokeTimeout must be exceeded by the time within which keys are withdrawn: at or below it, no confirmation could ever
	// be used.
	MinRevokeTimeout = historyMargin

	// historyMargin is subtracted from the time within which a key must be withdrawn: a watch of the store may miss changes
	// for up to a second while the store discards its history.
	historyMargin = time.Second
	// retryAfter is when callers should retry after a refusal because the confirmation is too old: by then the daemon gets the
	// catalog from another source if its source has failed.
	retryAfter = time.Second
)

type (
	// Confirmation is the knowledge that the store had no newer catalog than the one in force. The zero value means that this
	// was never shown.
	Confirmation struct {
		Known bool
		// Age is the time since then, including the time that the VM was suspended.
		Age time.Duration
	}

	// View is what a daemon knows at one moment. The confirmation must have been read before the catalog: if both change in
	// between, the catalog is newer than what was confirmed, never older.
	View struct {
		Catalog      *specs.Catalog
		Confirmation Confirmation
		// MaxAge is the greatest age of the confirmation; 0 means that the last known catalog stays in use.
		MaxAge time.Duration
	}
)

// MaxAge returns how long a confirmation may be used if keys must be withdrawn within the given time; 0 means no limit.
func MaxAge(revokeTimeout time.Duration) time.Duration {
	if revokeTimeout <= 0 {
		return 0
	}
	return max(revokeTimeout-historyMargin, time.Nanosecond)
}

// Check returns who makes a call on a route with the given key, which is empty if the call has none. An error of kind
// Unavailable means that the daemon's knowledge is too old to decide, kind Denied that no organisation holds the key.
func (v View) Check(route *specs.Route, key string) (specs.Caller, error) {
	if !v.Catalog.NeedsKeys {
		return specs.Caller{}, nil
	}
	if route.Public {
		return specs.Caller{Public: true, Catalog: v.Catalog.Version, Queue: v.queue(route)}, nil
	}
	if !v.IsCurrent() {
		return specs.Caller{}, v.staleError()
	}
	if key == "" {
		return specs.Caller{}, errs.New(errs.Denied, "the call has no key")
	}
	digest := specs.DigestKey(key)
	owner, ok := v.Catalog.KeyOwner(digest)
	if !ok {
		return specs.Caller{}, errs.New(errs.Denied, "no organisation of catalog %d holds the key", v.Catalog.Version)
	}
	return specs.Caller{Organisation: owner.Name, Key: digest, Catalog: v.Catalog.Version, Queue: v.queue(route)}, nil
}

// queue returns the queue of a route, or an empty name if only some of the routes to it are public.
func (v View) queue(route *specs.Route) specs.QueueName {
	if v.Catalog.IsMixed(route.Queue.Name) {
		return ""
	}
	return route.Queue.Name
}

// IsCurrent reports whether the catalog may be used to decide about keys.
func (v View) IsCurrent() bool {
	return v.MaxAge == 0 || (v.Confirmation.Known && v.Confirmation.Age < v.MaxAge)
}

// IsUsable reports whether there is a catalog, which was confirmed before if it requires that.
func (v View) IsUsable() bool {
	return v.Catalog != nil && (v.MaxAge == 0 || !v.Catalog.NeedsKeys || v.Confirmation.Known)
}

func (v View) staleError() error {
	if !v.Confirmation.Known {
		return errs.After(errs.Unavailable, retryAfter, "the store has not confirmed catalog %d yet", v.Catalog.Version)
	}
	return errs.After(errs.Unavailable, retryAfter, "catalog %d was confirmed %s ago, longer than the %s that it may be used",
		v.Catalog.Version, v.Confirmation.Age.Round(time.Millisecond), v.MaxAge)
}

// Recheck checks a caller, whose key another daemon has accepted, against this daemon's catalog. A catalog that is newer than the one
// that held the key decides: it gives the organisation, or an error of kind Denied if no organisation holds the key any more.
func Recheck(c *specs.Catalog, caller specs.Caller) (specs.Caller, error) {
	if caller.Organisation == "" || c == nil || !c.NeedsKeys || c.Version <= caller.Catalog {
		return caller, nil
	}
	owner, ok := c.KeyOwner(caller.Key)
	if !ok {
		return specs.Caller{}, errs.New(errs.Denied, "no organisation of catalog %d holds the key any more", c.Version)
	}
	caller.Organisation, caller.Catalog = owner.Name, c.Version
	return caller, nil
}
