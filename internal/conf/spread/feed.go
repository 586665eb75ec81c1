package spread

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// maxPushTries bounds the calls of one push: with the base that the peer is expected to have, with the one that it
// reports, and with the whole body.
const maxPushTries = 3

// watchLoop watches the store while this daemon represents a data centre of the store's region.
func (s *Spread) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.topology.watchesStore(s.config.Self.Site.Region) || !s.topology.isRepresentative() {
			every.Sleep(ctx, s.config.Clock, roleCheckInterval)
			continue
		}
		s.watch(ctx)
	}
}

// watch reads the document and waits for changes until this daemon no longer represents its data centre or a call
// fails.
func (s *Spread) watch(ctx context.Context) {
	version, ok := s.loadFromStore(ctx)
	for ok && ctx.Err() == nil && s.topology.isRepresentative() {
		version, ok = s.watchOnce(ctx, version)
	}
	if !ok {
		every.Sleep(ctx, s.config.Clock, storeBackoff)
	}
}

// watchOnce waits for one change after the version and returns the store's new version, or false when a call failed. A
// store whose version is lower than before was restored; then the document is read again.
func (s *Spread) watchOnce(ctx context.Context, after store.Version) (store.Version, bool) {
	callCtx, cancel := clockwork.WithTimeout(ctx, s.config.Clock, watchTimeout)
	defer cancel()
	key := edit.CurrentKey(s.config.Environment)
	page, err := s.config.Store.Watch(callCtx, key, after)
	if err != nil {
		s.addToCounter("WatchFailures", 1)
		return after, false
	}
	if page.Version < after {
		s.addToCounter("RestoredStore", 1)
		return s.loadFromStore(ctx)
	}
	for _, entry := range page.Entries {
		if entry.Key != key {
			continue
		}
		if !s.applyStoreEntry(ctx, entry) {
			return after, false
		}
	}
	s.markVerified(0)
	return page.Version, true
}

// loadFromStore reads the document from the store and puts it in force if it is newer, or reconciles a store that was
// restored. It returns the version of the entry, which is 0 when there is none, or false when a call failed.
func (s *Spread) loadFromStore(ctx context.Context) (store.Version, bool) {
	callCtx, cancel := clockwork.WithTimeout(ctx, s.config.Clock, storeTimeout)
	defer cancel()
	entry, err := s.config.Store.Get(callCtx, edit.CurrentKey(s.config.Environment))
	if errs.Is(err, errs.NotFound) {
		return 0, s.reconcileStore(ctx)
	}
	if err != nil {
		s.addToCounter("LoadFailures", 1)
		return 0, false
	}
	return entry.Version, s.applyStoreEntry(ctx, entry)
}

// applyStoreEntry puts the document that the store holds in force if it is newer. If it is older or was deleted, the
// store was restored and is reconciled. It returns false when a call failed.
func (s *Spread) applyStoreEntry(ctx context.Context, entry store.Entry) bool {
	if entry.Deleted {
		return s.reconcileStore(ctx)
	}
	record, err := edit.Decode(entry)
	if err != nil {
		s.addToCounter("Unreadable", 1)
		s.config.Log.Error().Err(err).Msg("the record in the store is malformed; the document in force is kept")
		return true
	}
	s.applyRecord(record, "watch of the store")
	if inForce := s.holder.stamp(); inForce.newer(stampOf(&record)) {
		return s.reconcileStore(ctx)
	}
	s.markVerified(0)
	return true
}

// reconcileStore reconciles a store that was restored to an older state with the record in force. It returns false when
// that failed.
func (s *Spread) reconcileStore(ctx context.Context) bool {
	inForce := s.holder.record()
	if inForce == nil {
		return true
	}
	callCtx, cancel := clockwork.WithTimeout(ctx, s.config.Clock, storeTimeout)
	defer cancel()
	action, err := edit.ReconcileStore(callCtx, s.config.Store, *inForce)
	if err != nil {
		s.addToCounter("SettleFailures", 1)
		return false
	}
	if action == edit.ReconcileNothing {
		return true
	}
	s.addToCounter(string(action), 1)
	s.config.Log.Warn().Uint64("Revision", uint64(inForce.Revision)).Str("Settlement", string(action)).
		Msg("the store held an older document than the one in force and was reconciled with it")
	s.config.Audit.Record(audit.Record{
		Actor: string(s.config.Self.VM), Verb: audit.VerbPut, Subject: string(s.config.Environment),
		Revision: inForce.Revision, Cause: "the store was restored to an older state: " + string(action),
	})
	return true
}

// applyRecord puts a record in force if it is newer, and wakes forwardLoop.
func (s *Spread) applyRecord(record edit.Accepted, source string) {
	replaced, err := s.holder.replace(record)
	if err != nil {
		s.addToCounter("Refused", 1)
		s.config.Log.Error().Err(err).Str("Source", source).Msg("a document was rejected; the one in force is kept")
		return
	}
	if !replaced {
		return
	}
	s.addToCounter("InForce", 1)
	s.config.Log.Info().Uint64("Revision", uint64(record.Revision)).Str("Source", source).Msg("a new document is in force")
	s.config.Audit.Record(audit.Record{
		Actor: record.By, Verb: audit.VerbInForce, Subject: string(record.Environment),
		Revision: record.Revision, Cause: source,
	})
	every.Wake(s.changed)
}

// forwardLoop forwards each new record until ctx ends.
func (s *Spread) forwardLoop(ctx context.Context) {
	for {
		select {
		case <-s.changed:
			s.forward(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// forward pushes the record in force, in parallel. A representative pushes to the pushTargets and to each other daemon
// of its data centre; any other daemon pushes to the first daemon of its data centre that answers, the representative
// if possible.
func (s *Spread) forward(ctx context.Context) {
	s.removeAbsentPeers()
	own, _, _ := s.topology.byDistance()
	var lists [][]peer.Target
	if s.topology.isRepresentative() {
		lists = s.topology.pushTargets()
		for _, t := range own {
			lists = append(lists, []peer.Target{t})
		}
	} else {
		lists = [][]peer.Target{own}
	}
	var group sync.WaitGroup
	for _, targets := range lists {
		group.Add(1)
		go func() {
			defer group.Done()
			s.pushAny(ctx, targets)
		}()
	}
	group.Wait()
}

// pushAny pushes to the daemons of the list in order until push returns true.
func (s *Spread) pushAny(ctx context.Context, targets []peer.Target) {
	for _, t := range targets {
		if s.push(ctx, t) {
			return
		}
	}
}

// push sends the record in force to a peer, unless the peer is known to have it or a newer one. It returns true when the
// peer is known to have such a record or has processed the push. A peer that can't parse the record processes the push,
// too, but keeps its own.
func (s *Spread) push(ctx context.Context, to peer.Target) bool {
	base := s.likelyBase(to.VM)
	for range maxPushTries {
		update, err := s.holder.updateFrom(base)
		if err != nil {
			return false
		}
		if !update.Stamp.newer(s.peerStamp(to.VM)) {
			return true
		}
		reply, err := s.pushOnce(ctx, to, update)
		if err != nil {
			s.addToCounter("PushFailures", 1)
			return false
		}
		s.recordPeerStamp(to.VM, reply.Have)
		if !reply.Rebase {
			return true
		}
		base = reply.Have.Digest
		if base == update.Base {
			base = 0
		}
	}
	return false
}

func (s *Spread) pushOnce(ctx context.Context, to peer.Target, update Update) (PushReply, error) {
	callCtx, cancel := clockwork.WithTimeout(ctx, s.config.Clock, callTimeout)
	defer cancel()
	var reply PushReply
	args := &PushArgs{Environment: s.config.Environment, Update: update, Age: s.age()}
	if err := s.config.Peers.Call(callCtx, to, methodPush, args, &reply); err != nil {
		// A late answer may still be written to the reply, so it must not be read.
		return PushReply{}, err
	}
	return reply, nil
}

// likelyBase returns the digest of the body that a peer most likely has: the one that it last reported, or else the
// body that was in force here before the present one.
func (s *Spread) likelyBase(vm types.VMID) types.Digest {
	if known := s.peerStamp(vm); known.Revision > 0 {
		return known.Digest
	}
	return s.holder.previousDigest()
}

func (s *Spread) peerStamp(vm types.VMID) Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerStamps[vm]
}

func (s *Spread) recordPeerStamp(vm types.VMID, stamp Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerStamps[vm] = stamp
}

// removeAbsentPeers removes the stamps of daemons that are no longer members.
func (s *Spread) removeAbsentPeers() {
	present := make(map[types.VMID]Stamp)
	targets := s.topology.allDaemons()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range targets {
		if stamp, ok := s.peerStamps[t.VM]; ok {
			present[t.VM] = stamp
		}
	}
	s.peerStamps = present
}

// markVerified records that the store confirmed the record in force the given time ago, unless a later confirmation is
// known.
func (s *Spread) markVerified(ago time.Duration) {
	at := s.config.Clock.Now().Add(-ago)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.verifiedAt) {
		s.verifiedAt = at
	}
}

// age returns how long ago the store last confirmed the record in force, directly or through peers, or
// neverVerifiedAge.
func (s *Spread) age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.verifiedAt.IsZero() {
		return neverVerifiedAge
	}
	return s.config.Clock.Since(s.verifiedAt)
}
