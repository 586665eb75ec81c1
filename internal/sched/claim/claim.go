// Package claim holds the claim that makes one daemon the lead of a data centre, and gives out its epoch.
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

	// minorBits is the part of an epoch that interim leads use. The epoch of a claim has zeroes there.
	minorBits = 16
	minorMask = 1<<minorBits - 1
	// hashBits is the part of the minor part that tells interim leads apart; the rest counts their tries.
	hashBits = 8
	hashMask = 1<<hashBits - 1
	// MaxTries is how often one daemon may become interim lead after one claim.
	MaxTries = 1<<(minorBits-hashBits) - 1

	// DefaultTTL is how long a claim lasts without a renewal.
	DefaultTTL = 3 * time.Second
)

type (
	// Claim is the value of a data centre's claim key.
	Claim struct {
		Owner   types.VMID    `json:"Owner"`
		Address types.Address `json:"Address"`
		Epoch   types.Epoch   `json:"Epoch"`
		// Nonce marks one try at claiming, so that a lost answer can be settled.
		Nonce store.Nonce `json:"Nonce"`
	}

	// Counter is the value of the key that outlives claims: the number of the latest epoch that was given out.
	Counter struct {
		Last uint64 `json:"Last"`
	}

	// Config says who claims which data centre.
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

// Interim returns the epoch of an interim lead that follows the lead of the given epoch, in its n-th try. It
// is above the daemon's earlier tries, and the epoch of any later claim exceeds it.
func Interim(last types.Epoch, try int, self types.VMID) types.Epoch {
	hash := uint64(types.DigestOf([]byte(self))) & hashMask
	return Base(last) | types.Epoch(try)<<hashBits | types.Epoch(hash)
}

// Base returns the epoch of the claim that an interim epoch follows.
func Base(epoch types.Epoch) types.Epoch {
	return epoch &^ minorMask
}

// IsInterim tells whether the epoch is that of an interim lead.
func IsInterim(epoch types.Epoch) bool {
	return uint64(epoch)&minorMask != 0
}

// TTL returns how long the claim lasts without a renewal.
func (h *Holder) TTL() time.Duration {
	return h.config.TTL
}

// Read returns the claim that is in the store; kind NotFound means that nobody holds it.
func (h *Holder) Read(ctx context.Context) (Claim, error) {
	entry, err := h.config.Store.Get(ctx, h.claimKey())
	if err != nil {
		return Claim{}, err
	}
	return decodeClaim(entry)
}

// Acquire claims the data centre. An error of kind Conflict means that another daemon holds the claim, which
// is returned. Only a nil error makes the caller the holder.
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

// Renew extends the claim; kind NotFound means that it lapsed.
func (h *Holder) Renew(ctx context.Context) error {
	h.mu.Lock()
	lease := h.lease
	h.mu.Unlock()
	return h.config.Store.Renew(ctx, lease)
}

// Release gives the claim up.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.releaseLocked(ctx)
}

func (h *Holder) releaseLocked(ctx context.Context) error {
	version := h.version
	h.held, h.lease, h.version = Claim{}, 0, store.Absent
	if version == store.Absent {
		return nil
	}
	return h.config.Store.Delete(ctx, h.claimKey(), version)
}

// nextNumber takes the next number from the counter. A number whose answer was lost is left unused.
func (h *Holder) nextNumber(ctx context.Context) (uint64, error) {
	counter, version, err := h.readCounter(ctx)
	if err != nil {
		return 0, err
	}
	counter.Last++
	_, err = store.Commit(ctx, h.config.Store, store.Put{Key: h.counterKey(), Expect: version}, counter)
	return counter.Last, err
}

// writeClaim creates the claim key under a new lease. A claim whose answer stays lost lapses with its lease.
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

func (h *Holder) resolveInDoubt(ctx context.Context, nonce store.Nonce) (store.Entry, error) {
	entry, err := h.config.Store.Get(ctx, h.claimKey())
	if err != nil {
		return store.Entry{}, errs.New(errs.Lost, "answer to the claim was lost and reading it back failed: %v", err)
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

// verifyNumber reads the counter again once the claim is written. Without it a slow claimer could hold the claim
// with a lower epoch than one that was given out, held and lost in between.
func (h *Holder) verifyNumber(ctx context.Context, number uint64) (Claim, error) {
	held := h.held
	counter, _, err := h.readCounter(ctx)
	if err == nil && counter.Last == number {
		return held, nil
	}
	if err == nil {
		err = errs.New(errs.Conflict, "epoch number %d was overtaken by %d", number, counter.Last)
	}
	if releaseErr := h.releaseLocked(ctx); releaseErr != nil {
		return Claim{}, errs.New(errs.Of(err).Kind, "%v; releasing the claim: %v", err, releaseErr)
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
	if err := store.Open(entry.Value, &out); err != nil {
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
