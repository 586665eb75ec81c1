// Package claim acquires, renews and releases the claim that makes one daemon the leader of a data centre, and
// assigns the epoch of each claim.
package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

const (
	claimPrefix   store.Key = "Claims/"
	counterPrefix store.Key = "Epochs/"

	// minorBits is the number of low bits of an epoch that interim leaders use. They are zero in the epoch of a
	// claim.
	minorBits = 16
	minorMask = 1<<minorBits - 1
	// hashBits is the number of minor bits that hold a hash of the daemon's ID, which tells interim leaders apart;
	// the other minor bits count their tries.
	hashBits = 8
	hashMask = 1<<hashBits - 1
	// MaxTries is how often one daemon may become interim leader after one claim.
	MaxTries = 1<<(minorBits-hashBits) - 1

	// DefaultTTL is how long a claim lasts without a renewal, unless Config sets another time.
	DefaultTTL = 3 * time.Second
)

type (
	// Claim is the value of a data centre's claim key.
	Claim struct {
		Owner   types.VMID    `json:"Owner"`
		Address types.Address `json:"Address"`
		Epoch   types.Epoch   `json:"Epoch"`
		// Nonce identifies one try to claim, so that a write whose answer was lost can be resolved.
		Nonce store.Nonce `json:"Nonce"`
	}

	// Counter is the value of the key that remains when a claim expires: the number of the latest epoch that was
	// assigned.
	Counter struct {
		Last uint64 `json:"Last"`
	}

	// Config holds the daemon that claims its data centre, and the store that it claims it in.
	Config struct {
		Self  peer.Target
		Store store.Store
		// TTL is how long the claim lasts without a renewal; zero means DefaultTTL.
		TTL time.Duration
	}

	// Holder claims a data centre, renews the claim and releases it. It is safe for concurrent use.
	Holder struct {
		config Config

		mu      sync.Mutex
		held    Claim
		lease   store.LeaseID
		version store.Version
	}
)

// New returns a holder without a claim.
func New(c Config) *Holder {
	if c.TTL <= 0 {
		c.TTL = DefaultTTL
	}
	return &Holder{config: c}
}

// Interim returns the epoch of an interim leader that follows the leader of epoch last, for the daemon's given
// try. It exceeds the epochs of the daemon's earlier tries, and the epoch of any later claim exceeds it.
func Interim(last types.Epoch, try int, self types.VMID) types.Epoch {
	hash := uint64(types.DigestOf([]byte(self))) & hashMask
	return Base(last) | types.Epoch(try)<<hashBits | types.Epoch(hash)
}

// Base returns the epoch of the claim that an interim epoch follows.
func Base(epoch types.Epoch) types.Epoch {
	return epoch &^ minorMask
}

// IsInterim reports whether the epoch is that of an interim leader.
func IsInterim(epoch types.Epoch) bool {
	return uint64(epoch)&minorMask != 0
}

// TTL returns how long the claim lasts without a renewal.
func (h *Holder) TTL() time.Duration {
	return h.config.TTL
}

// Read returns the claim that is in the store. An error of kind NotFound means that no daemon holds it.
func (h *Holder) Read(ctx context.Context) (Claim, error) {
	entry, err := h.config.Store.Get(ctx, h.claimKey())
	if err != nil {
		return Claim{}, err
	}
	return decodeClaim(entry)
}

// Acquire claims the data centre. An error of kind Conflict means that the claim is held already, and the claim
// found is returned with it, or that another daemon claimed at the same time, with an empty claim. Only a nil
// error makes the caller the holder.
func (h *Holder) Acquire(ctx context.Context) (Claim, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, err := h.Read(ctx)
	if err == nil {
		return current, errs.New(errs.Conflict, "%s holds the claim of %s", current.Owner, h.site())
	}
	if !errs.Is(err, errs.NotFound) {
		return Claim{}, err
	}
	number, err := h.nextNumber(ctx)
	if err != nil {
		return Claim{}, err
	}
	if err := h.writeClaim(ctx, number); err != nil {
		return Claim{}, err
	}
	return h.verifyNumber(ctx, number)
}

// Renew extends the claim. An error of kind NotFound means that it has expired.
func (h *Holder) Renew(ctx context.Context) error {
	h.mu.Lock()
	lease := h.lease
	h.mu.Unlock()
	return h.config.Store.Renew(ctx, lease)
}

// Release deletes the claim. Without one it does nothing. An error of kind Conflict means that the claim had
// expired already, and leaves the claim of another daemon as it is.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.releaseLocked(ctx)
}

// releaseLocked is Release without locking. The caller must hold h.mu.
func (h *Holder) releaseLocked(ctx context.Context) error {
	version := h.version
	h.held, h.lease, h.version = Claim{}, 0, store.Absent
	if version == store.Absent {
		return nil
	}
	return h.config.Store.Delete(ctx, h.claimKey(), version)
}

// nextNumber increments the counter and returns its value. A number whose write remains in doubt is left unused.
func (h *Holder) nextNumber(ctx context.Context) (uint64, error) {
	counter, version, err := h.readCounter(ctx)
	if err != nil {
		return 0, err
	}
	counter.Last++
	_, err = store.Commit(ctx, h.config.Store, store.Put{Key: h.counterKey(), Expect: version}, counter)
	return counter.Last, err
}

// writeClaim creates the claim key under a new lease. A claim that remains in doubt expires with its lease. The
// caller must hold h.mu.
func (h *Holder) writeClaim(ctx context.Context, number uint64) error {
	lease, err := h.config.Store.Grant(ctx, h.config.TTL)
	if err != nil {
		return err
	}
	claim := Claim{
		Owner:   h.config.Self.VM,
		Address: h.config.Self.Address,
		Epoch:   types.Epoch(number << minorBits),
		Nonce:   store.Nonce(uuid.NewString()),
	}
	value, err := json.Marshal(claim)
	if err != nil {
		return errs.New(errs.Internal, "encoding the claim: %v", err)
	}
	put := store.Put{Key: h.claimKey(), Value: value, Expect: store.Absent, Lease: lease}
	entry, err := h.config.Store.Put(ctx, put)
	if errs.Is(err, errs.Lost) {
		entry, err = h.resolveInDoubt(ctx, claim.Nonce)
	}
	if err != nil {
		return err
	}
	h.held, h.lease, h.version = claim, lease, entry.Version
	return nil
}

// resolveInDoubt reads the claim key to find out whether the write with the nonce took effect.
func (h *Holder) resolveInDoubt(ctx context.Context, nonce store.Nonce) (store.Entry, error) {
	entry, err := h.config.Store.Get(ctx, h.claimKey())
	if err != nil {
		return store.Entry{}, errs.New(errs.Lost, "claim is in doubt: its answer was lost and reading it back failed: %v", err)
	}
	found, err := decodeClaim(entry)
	if err != nil {
		return store.Entry{}, err
	}
	if found.Nonce != nonce {
		return store.Entry{}, errs.New(errs.Conflict, "%s holds the claim of %s", found.Owner, h.site())
	}
	return entry, nil
}

// verifyNumber reads the counter again once the claim is written, and releases the claim if the counter has
// changed. Without this check a slow daemon could hold the claim with a lower epoch than one that another daemon
// was assigned, held and lost in between. The caller must hold h.mu.
func (h *Holder) verifyNumber(ctx context.Context, number uint64) (Claim, error) {
	held := h.held
	counter, _, err := h.readCounter(ctx)
	if err == nil && counter.Last == number {
		return held, nil
	}
	if err == nil {
		err = errs.New(errs.Conflict, "epoch number %d is no longer the latest: the counter is at %d", number, counter.Last)
	}
	if releaseErr := h.releaseLocked(ctx); releaseErr != nil {
		return Claim{}, errs.New(errs.Of(err).Kind, "%v; releasing the claim failed: %v", err, releaseErr)
	}
	return Claim{}, err
}

func (h *Holder) readCounter(ctx context.Context) (Counter, store.Version, error) {
	entry, err := h.config.Store.Get(ctx, h.counterKey())
	if errs.Is(err, errs.NotFound) {
		return Counter{}, store.Absent, nil
	}
	if err != nil {
		return Counter{}, store.Absent, err
	}
	var out Counter
	if err := store.DecodeRecord(entry.Value, &out); err != nil {
		return Counter{}, store.Absent, err
	}
	return out, entry.Version, nil
}

func (h *Holder) site() types.DataCentre {
	return h.config.Self.Site.DataCentre
}

func (h *Holder) claimKey() store.Key {
	return claimPrefix + store.Key(h.site())
}

func (h *Holder) counterKey() store.Key {
	return counterPrefix + store.Key(h.site())
}

func decodeClaim(entry store.Entry) (Claim, error) {
	var out Claim
	if err := json.Unmarshal(entry.Value, &out); err != nil {
		return Claim{}, errs.New(errs.Internal, "claim in the store is malformed: %v", err)
	}
	return out, nil
}
