package spread

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// neverVerified is the age of a record that the store has not confirmed since the daemon started.
const neverVerified = 365 * 24 * time.Hour

// pullLoop compares revisions with peers on a timer. Daemons start at different points of the interval.
func (s *Spread) pullLoop(ctx context.Context) {
	offset := time.Duration(xxhash.Sum64String(string(s.config.Self.VM)) % uint64(pullEvery))
	if !s.sleep(ctx, offset) {
		return
	}
	for ctx.Err() == nil {
		s.pull(ctx)
		if !s.held.filled() {
			s.load(ctx)
		}
		s.sleep(ctx, pullEvery)
	}
}

// pull compares revisions with the peers that are nearest to the store's word.
func (s *Spread) pull(ctx context.Context) {
	s.pulls++
	own, region, far := s.routes.plan()
	if !s.routes.acts() {
		s.pullEntry(ctx, own, region, far)
		return
	}
	if s.routes.watches(s.config.Self.Site.Region) {
		s.pullWatching(ctx, own, region, far)
		return
	}
	s.pullFed(ctx, own, region, far)
}

// pullEntry compares revisions for a daemon that does not act for its data centre: with the one that does, and
// further away while that one does not answer or has no recent word of the store.
func (s *Spread) pullEntry(ctx context.Context, own []peer.Target, region, far [][]peer.Target) {
	answered := s.pullAny(ctx, own)
	if answered && !s.stale() {
		return
	}
	answered = s.pullEach(ctx, region) || answered
	if !answered {
		s.pullEach(ctx, far)
	}
	if s.held.filled() && s.stale() && s.routes.watches(s.config.Self.Site.Region) && s.mayEscalate() {
		s.count("Escalations", 1)
		s.load(ctx)
	}
}

// pullWatching compares revisions for a data centre that watches the store: now and then with a sibling, and
// with all of them while the store can't be reached.
func (s *Spread) pullWatching(ctx context.Context, own []peer.Target, region, far [][]peer.Target) {
	if !s.held.filled() {
		_ = s.pullAny(ctx, own) || s.pullEach(ctx, region) || s.pullEach(ctx, far)
		return
	}
	if s.stale() {
		s.pullEach(ctx, region)
		return
	}
	if len(region) > 0 && s.pulls%siblingEvery == 0 {
		s.pullAny(ctx, region[(s.pulls/siblingEvery)%len(region)])
	}
}

// pullFed compares revisions for a data centre of a region without the store. The first data centre of the
// region asks across the paid link; the others ask the first, and across the link only when it is stale.
func (s *Spread) pullFed(ctx context.Context, own []peer.Target, region, far [][]peer.Target) {
	if !s.held.filled() {
		_ = s.pullAny(ctx, own) || s.pullEach(ctx, region) || s.pullEach(ctx, far)
		return
	}
	if s.routes.gateway() {
		s.pullGateway(ctx, region, far)
		return
	}
	if s.pullEach(ctx, region) && !s.stale() {
		return
	}
	if s.mayEscalate() {
		s.count("Escalations", 1)
		s.pullFar(ctx, far)
	}
}

// pullGateway asks across the paid link, less often than the other daemons ask their neighbours.
func (s *Spread) pullGateway(ctx context.Context, region, far [][]peer.Target) {
	if !s.stale() && s.pulls%farEvery != 0 {
		return
	}
	if !s.pullFar(ctx, far) {
		s.pullEach(ctx, region)
	}
}

// pullFar asks the data centres that watch the store, in order, until one has recent word of the store.
func (s *Spread) pullFar(ctx context.Context, far [][]peer.Target) bool {
	answered := false
	for _, targets := range far {
		if !s.routes.watches(targets[0].Site.Region) {
			continue
		}
		if s.pullAny(ctx, targets) {
			answered = true
		}
		if answered && !s.stale() {
			return true
		}
	}
	return answered
}

// stale tells whether the daemon has no recent word of the store.
func (s *Spread) stale() bool {
	if s.routes.watches(s.config.Self.Site.Region) {
		return s.age() > staleAfter
	}
	return s.age() > fedStaleAfter
}

// mayEscalate tells whether a stale daemon may now ask further away, which costs more.
func (s *Spread) mayEscalate() bool {
	now := s.config.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.escalated.IsZero() && now.Sub(s.escalated) < escalateEvery {
		return false
	}
	s.escalated = now
	return true
}

// pullEach asks one daemon of each data centre, until one has recent word of the store.
func (s *Spread) pullEach(ctx context.Context, groups [][]peer.Target) bool {
	answered := false
	for _, targets := range groups {
		if s.pullAny(ctx, targets) {
			answered = true
		}
		if answered && s.held.filled() && !s.stale() {
			return true
		}
	}
	return answered && s.held.filled()
}

// pullAny asks the daemons in order until one that has a document answers.
func (s *Spread) pullAny(ctx context.Context, targets []peer.Target) bool {
	for _, t := range targets {
		if s.pullOnce(ctx, t) {
			return true
		}
	}
	return false
}

// pullOnce compares revisions with one peer: it takes a newer record and hands over its own newer one. It
// tells whether the peer answered and has a document.
func (s *Spread) pullOnce(ctx context.Context, from peer.Target) bool {
	limited, cancel := clockwork.WithTimeout(ctx, s.config.Clock, callTimeout)
	defer cancel()
	mine := s.held.stamp()
	var reply PullReply
	args := &PullArgs{Environment: s.config.Environment, Have: mine}
	if err := s.config.Peers.Call(limited, from, methodPull, args, &reply); err != nil {
		s.count("PullFailures", 1)
		return false
	}
	s.learn(from.VM, reply.Have)
	if reply.Update != nil {
		if err := s.take(*reply.Update, reply.Age); err != nil {
			s.count("Refused", 1)
			return false
		}
	}
	if mine.newer(reply.Have) {
		s.push(ctx, from)
	}
	if reply.Have == s.held.stamp() {
		s.confirm(reply.Age)
	}
	return reply.Have != Stamp{}
}

// take puts an update of a peer in force when it is newer. Kind NotFound means that the base is not kept.
func (s *Spread) take(update Update, age time.Duration) error {
	if !s.held.wants(update.Stamp) {
		return nil
	}
	base, err := s.held.body(update.Base)
	if err != nil {
		return err
	}
	body, err := decodeDelta(base, update.Delta)
	if err != nil {
		return err
	}
	if types.DigestOf(body) != update.Stamp.Digest {
		return errs.New(errs.Invalid, "the delta does not make the body with digest %016x", uint64(update.Stamp.Digest))
	}
	s.adopt(edit.Accepted{
		Environment: s.config.Environment, Revision: update.Stamp.Revision, Digest: update.Stamp.Digest,
		Body: body, By: update.By, At: update.Stamp.At, From: update.From,
	}, "peer")
	if s.held.stamp() == update.Stamp {
		s.confirm(age)
	}
	return nil
}
