package feed

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

const (
	// maxReceiveTime is how long a source may go on receiving a catalog without being taken to have fallen behind.
	maxReceiveTime = 20 * time.Second
	// progressTimeout is how long a source counts as receiving after bytes last arrived.
	progressTimeout = 2 * time.Second
)

// Version returns the version of the catalog in force, or zero before the first one.
func (f *Feed) Version() specs.CatalogVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versionLocked()
}

// versionLocked is Version for a caller that holds f.mu.
func (f *Feed) versionLocked() specs.CatalogVersion {
	if f.document == nil {
		return 0
	}
	return f.document.catalog.Version
}

// install puts a document in force if it is newer than the present one. Position is where the next one is to be read.
func (f *Feed) install(d *document, position Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document != nil && d.catalog.Version <= f.document.catalog.Version {
		return
	}
	f.document, f.position = d, max(f.position, position)
	f.config.Apply(d.catalog)
	close(f.changed)
	f.changed = make(chan struct{})
}

// confirm notes that the store had no newer catalog at the given time.
func (f *Feed) confirm(position Position, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.position = max(f.position, position)
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// age returns how long ago the store is known to have had no newer catalog.
func (f *Feed) age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageLocked()
}

func (f *Feed) ageLocked() time.Duration {
	return f.config.Clock.Since(f.confirmedAt)
}

// avoid puts a source in backoff.
func (f *Feed) avoid(target peer.Target, backoff time.Duration, reason string) {
	f.mu.Lock()
	f.unusableUntil[target.VM] = f.config.Clock.Now().Add(backoff)
	f.mu.Unlock()
	f.config.Log.Warn().Str("Source", string(target.VM)).Str("Reason", reason).Dur("Age", f.age()).Dur("Backoff", backoff).
		Msg("source of the catalog is not usable; following the next one")
}

// noteProgress notes that a part of a catalog has arrived.
func (f *Feed) noteProgress() {
	f.noteReceiving(true)
}

// noteReceiving notes whether a catalog arrives, here or at the source.
func (f *Feed) noteReceiving(receiving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !receiving {
		f.receivingSince = time.Time{}
		return
	}
	f.progressAt = f.config.Clock.Now()
	if f.receivingSince.IsZero() {
		f.receivingSince = f.progressAt
	}
}

// isReceiving reports whether a catalog arrives, here or at the source. The caller must hold f.mu.
func (f *Feed) isReceiving() bool {
	now := f.config.Clock.Now()
	return !f.receivingSince.IsZero() && now.Sub(f.progressAt) < progressTimeout && now.Sub(f.receivingSince) < maxReceiveTime
}
