package feed

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/access"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// confirmation is the latest time at which the store is known to have had no catalog newer than the one in force, on
// Config.Uptime. Unlike Feed.confirmedAt, it is not known until the store or a daemon with a confirmation has answered, and it
// is never later than the sending of the request whose answer showed it.
type confirmation struct {
	known bool
	at    time.Duration
}

// Confirmation returns the version of the catalog in force, zero before the first one, and the confirmation of that version.
func (f *Feed) Confirmation() (specs.CatalogVersion, access.Confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versionLocked(), f.confirmationLocked()
}

// confirmationLocked returns the confirmation with its age. The caller must hold f.mu.
func (f *Feed) confirmationLocked() access.Confirmation {
	if !f.confirmation.known {
		return access.Confirmation{}
	}
	return access.Confirmation{Known: true, Age: f.config.Uptime() - f.confirmation.at}
}

// Uptime returns the time on the clock by which confirmations are dated.
func (f *Feed) Uptime() time.Duration {
	return f.config.Uptime()
}

// AdoptConfirmation adopts the confirmation of another daemon that has the given version in force. SentAt is when it was asked
// for. It changes nothing unless that version is in force here, too, and the confirmation is younger than this daemon's.
func (f *Feed) AdoptConfirmation(version specs.CatalogVersion, c access.Confirmation, sentAt time.Duration) {
	if c.Known {
		f.confirmVersion(version, sentAt-c.Age)
	}
}

// adoptPolled adopts the confirmation in the answer to a poll, whose age was read after the source had waited.
func (f *Feed) adoptPolled(reply *PollReply, sentAt time.Duration) {
	f.AdoptConfirmation(reply.Version, access.Confirmation{Known: reply.Confirmed, Age: reply.ConfirmedAge}, sentAt+reply.Waited)
}

// confirmVersion notes that the store had no catalog newer than the version at the given time. A version other than the one in
// force confirms nothing: an older one comes from a source that has fallen behind.
func (f *Feed) confirmVersion(version specs.CatalogVersion, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document == nil || version != f.document.catalog.Version {
		return
	}
	at = min(at, f.config.Uptime())
	if !f.confirmation.known || at > f.confirmation.at {
		f.confirmation = confirmation{known: true, at: at}
	}
}

// confirmFromStore records the confirmation in an answer of the store to a request that was sent at sentAt. An answer without a
// catalog confirms the one in force only if the request asked for changes after a position.
func (f *Feed) confirmFromStore(update Update, after Position, sentAt time.Duration) {
	switch {
	case update.Lagging:
	case update.Catalog != nil:
		f.confirmVersion(update.Catalog.Version, sentAt)
	case after != 0:
		f.confirmVersion(f.Version(), sentAt)
	}
}
