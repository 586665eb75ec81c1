package spread

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// neverVerifiedAge is the reported age of a record that the store has not confirmed since the daemon started.
const neverVerifiedAge = 365 * 24 * time.Hour

// pullLoop compares revisions with peers at regular intervals, and reads the store while no document is in force. A
// hash of the VM ID sets the start within the interval, so that daemons do not pull all at once.
func (s *Spread) pullLoop(ctx context.Context) {
	offset := time.Duration(xxhash.Sum64String(string(s.config.Self.VM)) % uint64(pullInterval))
	if !every.Sleep(ctx, s.config.Clock, offset) {
		return
	}
	for ctx.Err() == nil {
		s.pull(ctx)
		if !s.holder.hasRecord() {
			s.loadFromStore(ctx)
		}
		every.Sleep(ctx, s.config.Clock, pullInterval)
	}
}

// pull compares revisions once, with the peers that the daemon's role in the distribution prescribes.
func (s *Spread) pull(ctx context.Context) {
	s.pullCount++
	own, region, far := s.topology.byDistance()
	if !s.topology.isRepresentative() {
		s.pullAsMember(ctx, own, region, far)
		return
	}
	if s.topology.watchesStore(s.config.Self.Site.Region) {
		s.pullAsWatcher(ctx, own, region, far)
		return
	}
	s.pullAsRemote(ctx, own, region, far)
}

// pullAsMember compares revisions for a daemon that does not represent its data centre. It asks its own data centre,
// the representative first; then the others of the region if nobody answered or the daemon is still stale; then other
// regions if still nobody answered. In the store's region, a daemon that stays stale reads the store itself, at most
// once per escalationInterval.
func (s *Spread) pullAsMember(ctx context.Context, own []peer.Target, region, far [][]peer.Target) {
	answered := s.pullAny(ctx, own)
	if answered && !s.isStale() {
		return
	}
	answered = s.pullEach(ctx, region) || answered
	if !answered {
		s.pullEach(ctx, far)
	}
	if s.holder.hasRecord() && s.isStale() && s.topology.watchesStore(s.config.Self.Site.Region) && s.tryEscalate() {
		s.addToCounter("Escalations", 1)
		s.loadFromStore(ctx)
	}
}

// pullAsWatcher compares revisions for a data centre that watches the store. It asks one sibling data centre of the
// region in every siblingTurn-th pull. While the store can't be reached, it asks them one after another until one has a
// recent confirmation. While no document is in force, it asks any daemon, the nearest first.
func (s *Spread) pullAsWatcher(ctx context.Context, own []peer.Target, region, far [][]peer.Target) {
	if !s.holder.hasRecord() {
		_ = s.pullAny(ctx, own) || s.pullEach(ctx, region) || s.pullEach(ctx, far)
		return
	}
	if s.isStale() {
		s.pullEach(ctx, region)
		return
	}
	if len(region) > 0 && s.pullCount%siblingTurn == 0 {
		s.pullAny(ctx, region[(s.pullCount/siblingTurn)%len(region)])
	}
}

// pullAsRemote compares revisions for a data centre of a region without the store. The region's gateway asks across the
// paid link. The others ask within the region, the gateway first, and across the link only while they are stale or
// nobody in the region answers, at most once per escalationInterval. While no document is in force, they ask any
// daemon, the nearest first.
func (s *Spread) pullAsRemote(ctx context.Context, own []peer.Target, region, far [][]peer.Target) {
	if !s.holder.hasRecord() {
		_ = s.pullAny(ctx, own) || s.pullEach(ctx, region) || s.pullEach(ctx, far)
		return
	}
	if s.topology.isInGateway() {
		s.pullAsGateway(ctx, region, far)
		return
	}
	if s.pullEach(ctx, region) && !s.isStale() {
		return
	}
	if s.tryEscalate() {
		s.addToCounter("Escalations", 1)
		s.pullAcrossLink(ctx, far)
	}
}

// pullAsGateway asks across the paid link. Unless the daemon is stale, it does so only in every crossRegionTurn-th
// pull, less often than other daemons ask within their region. If nobody answers, it asks the other data centres of
// its region.
func (s *Spread) pullAsGateway(ctx context.Context, region, far [][]peer.Target) {
	if !s.isStale() && s.pullCount%crossRegionTurn != 0 {
		return
	}
	if !s.pullAcrossLink(ctx, far) {
		s.pullEach(ctx, region)
	}
}

// pullAcrossLink asks the data centres that watch the store, one after another, until one has a recent confirmation by
// the store. It reports whether any of them answered.
func (s *Spread) pullAcrossLink(ctx context.Context, far [][]peer.Target) bool {
	answered := false
	for _, targets := range far {
		if !s.topology.watchesStore(targets[0].Site.Region) {
			continue
		}
		if s.pullAny(ctx, targets) {
			answered = true
		}
		if answered && !s.isStale() {
			return true
		}
	}
	return answered
}

// isStale reports whether the store's last confirmation of the record in force is too old.
func (s *Spread) isStale() bool {
	if s.topology.watchesStore(s.config.Self.Site.Region) {
		return s.age() > maxFreshAge
	}
	return s.age() > remoteMaxFreshAge
}

// tryEscalate reports whether a stale daemon may now ask across the paid link or read the store, which costs more. If
// so, it starts a new escalationInterval.
func (s *Spread) tryEscalate() bool {
	now := s.config.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.escalatedAt.IsZero() && now.Sub(s.escalatedAt) < escalationInterval {
		return false
	}
	s.escalatedAt = now
	return true
}

// pullEach asks one daemon of each data centre until one has a recent confirmation by the store. It reports whether any
// of them answered and a document is in force now.
func (s *Spread) pullEach(ctx context.Context, groups [][]peer.Target) bool {
	answered := false
	for _, targets := range groups {
		if s.pullAny(ctx, targets) {
			answered = true
		}
		if answered && s.holder.hasRecord() && !s.isStale() {
			return true
		}
	}
	return answered && s.holder.hasRecord()
}

// pullAny asks the daemons in order until one that has a document answers, and reports whether one did.
func (s *Spread) pullAny(ctx context.Context, targets []peer.Target) bool {
	for _, t := range targets {
		if s.pullOnce(ctx, t) {
			return true
		}
	}
	return false
}

// pullOnce compares revisions with one peer: it puts a newer record of the peer in force, and pushes its own if that is
// newer. It reports whether the peer answered and has a document.
func (s *Spread) pullOnce(ctx context.Context, from peer.Target) bool {
	callCtx, cancel := clockwork.WithTimeout(ctx, s.config.Clock, callTimeout)
	defer cancel()
	mine := s.holder.stamp()
	var reply PullReply
	args := &PullArgs{Environment: s.config.Environment, Have: mine}
	if err := s.config.Peers.Call(callCtx, from, methodPull, args, &reply); err != nil {
		s.addToCounter("PullFailures", 1)
		return false
	}
	s.recordPeerStamp(from.VM, reply.Have)
	if reply.Update != nil {
		if err := s.applyUpdate(*reply.Update, reply.Age); err != nil {
			s.addToCounter("Refused", 1)
			return false
		}
	}
	if mine.newer(reply.Have) {
		s.push(ctx, from)
	}
	if reply.Have == s.holder.stamp() {
		s.markVerified(reply.Age)
	}
	return reply.Have != Stamp{}
}

// applyUpdate puts a peer's update in force if it is newer. The error is of kind NotFound when the base of the delta is
// not retained.
func (s *Spread) applyUpdate(update Update, age time.Duration) error {
	if !s.holder.accepts(update.Stamp) {
		return nil
	}
	base, err := s.holder.body(update.Base)
	if err != nil {
		return err
	}
	body, err := decodeDelta(base, update.Delta)
	if err != nil {
		return err
	}
	if types.DigestOf(body) != update.Stamp.Digest {
		return errs.New(errs.Invalid, "the delta does not produce the body with digest %016x", uint64(update.Stamp.Digest))
	}
	s.applyRecord(edit.Accepted{
		Environment: s.config.Environment, Revision: update.Stamp.Revision, Digest: update.Stamp.Digest,
		Body: body, By: update.By, At: update.Stamp.At, From: update.From,
	}, "peer")
	if s.holder.stamp() == update.Stamp {
		s.markVerified(age)
	}
	return nil
}
