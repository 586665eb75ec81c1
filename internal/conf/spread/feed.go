package spread

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// maxPushTries bounds the calls of one push: with the expected base, with the stated one, and whole.
const maxPushTries = 3

// watchLoop watches the store while this daemon acts for a data centre of the store's region.
func (s *Spread) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.routes.watches(s.config.Self.Site.Region) || !s.routes.acts() {
			s.sleep(ctx, dutyEvery)
			continue
		}
		s.watch(ctx)
	}
}

// watch reads the document and waits for changes until the duty ends or a call fails.
func (s *Spread) watch(ctx context.Context) {
	version, ok := s.load(ctx)
	for ok && ctx.Err() == nil && s.routes.acts() {
		version, ok = s.watchOnce(ctx, version)
	}
	if !ok {
		s.sleep(ctx, retryStore)
	}
}

// watchOnce waits for one change. A store whose version went back was restored; its document is read again.
func (s *Spread) watchOnce(ctx context.Context, after store.Version) (store.Version, bool) {
	limited, cancel := clockwork.WithTimeout(ctx, s.config.Clock, watchTimeout)
	defer cancel()
	key := edit.CurrentKey(s.config.Environment)
	page, err := s.config.Store.Watch(limited, key, after)
	if err != nil {
		s.count("WatchFailures", 1)
		return after, false
	}
	if page.Version < after {
		s.count("RestoredStore", 1)
		return s.load(ctx)
	}
	for _, entry := range page.Entries {
		if entry.Key != key {
			continue
		}
		if !s.fromStore(ctx, entry) {
			return after, false
		}
	}
	s.confirm(0)
	return page.Version, true
}

// load reads the document from the store and returns the store's version of it.
func (s *Spread) load(ctx context.Context) (store.Version, bool) {
	limited, cancel := clockwork.WithTimeout(ctx, s.config.Clock, storeTimeout)
	defer cancel()
	entry, err := s.config.Store.Get(limited, edit.CurrentKey(s.config.Environment))
	if errs.Is(err, errs.NotFound) {
		return 0, s.settle(ctx)
	}
	if err != nil {
		s.count("LoadFailures", 1)
		return 0, false
	}
	return entry.Version, s.fromStore(ctx, entry)
}

// fromStore takes the document that the store holds, or settles a store that was restored.
func (s *Spread) fromStore(ctx context.Context, entry store.Entry) bool {
	if entry.Deleted {
		return s.settle(ctx)
	}
	record, err := edit.Decode(entry)
	if err != nil {
		s.count("Unreadable", 1)
		s.config.Log.Error().Err(err).Msg("the record in the store is malformed; the document in force is kept")
		return true
	}
	s.adopt(record, "watch of the store")
	if inForce := s.held.stamp(); inForce.newer(stampOf(&record)) {
		return s.settle(ctx)
	}
	s.confirm(0)
	return true
}

// settle brings a store that was restored to an older state in step with the record in force.
func (s *Spread) settle(ctx context.Context) bool {
	inForce := s.held.record()
	if inForce == nil {
		return true
	}
	limited, cancel := clockwork.WithTimeout(ctx, s.config.Clock, storeTimeout)
	defer cancel()
	done, err := edit.Settle(limited, s.config.Store, *inForce)
	if err != nil {
		s.count("SettleFailures", 1)
		return false
	}
	if done == edit.SettledNothing {
		return true
	}
	s.count(string(done), 1)
	s.config.Log.Warn().Uint64("Revision", uint64(inForce.Revision)).Str("Settlement", string(done)).
		Msg("the store held an older document than the one in force")
	s.config.Audit.Record(audit.Record{
		Actor: string(s.config.Self.VM), Verb: audit.VerbPut, Subject: string(s.config.Environment),
		Revision: inForce.Revision, Cause: "the store was restored to an older state: " + string(done),
	})
	return true
}

// adopt puts a newer record in force.
func (s *Spread) adopt(record edit.Accepted, source string) {
	replaced, err := s.held.replace(record)
	if err != nil {
		s.count("Refused", 1)
		s.config.Log.Error().Err(err).Str("Source", source).Msg("a document was refused; the one in force is kept")
		return
	}
	if !replaced {
		return
	}
	s.count("InForce", 1)
	s.config.Log.Info().Uint64("Revision", uint64(record.Revision)).Str("Source", source).Msg("document in force")
	s.config.Audit.Record(audit.Record{
		Actor: record.By, Verb: audit.VerbInForce, Subject: string(record.Environment),
		Revision: record.Revision, Cause: source,
	})
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// forwardLoop passes each change on.
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

// forward pushes the record in force to the daemons that this one feeds, all at once.
func (s *Spread) forward(ctx context.Context) {
	s.forget()
	own, _, _ := s.routes.plan()
	var lists [][]peer.Target
	if s.routes.acts() {
		lists = s.routes.feeds()
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

// pushAny pushes to the first daemon of the list that answers.
func (s *Spread) pushAny(ctx context.Context, targets []peer.Target) {
	for _, t := range targets {
		if s.push(ctx, t) {
			return
		}
	}
}

// push hands the record in force to a peer, and tells whether the peer has it or a newer one.
func (s *Spread) push(ctx context.Context, to peer.Target) bool {
	base := s.baseOf(to.VM)
	for range maxPushTries {
		update, err := s.held.update(base)
		if err != nil {
			return false
		}
		if !update.Stamp.newer(s.knownOf(to.VM)) {
			return true
		}
		reply, err := s.pushOnce(ctx, to, update)
		if err != nil {
			s.count("PushFailures", 1)
			return false
		}
		s.learn(to.VM, reply.Have)
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
	limited, cancel := clockwork.WithTimeout(ctx, s.config.Clock, callTimeout)
	defer cancel()
	var reply PushReply
	args := &PushArgs{Environment: s.config.Environment, Update: update, Age: s.age()}
	if err := s.config.Peers.Call(limited, to, methodPush, args, &reply); err != nil {
		// A late answer may still be written to the reply, so it must not be read.
		return PushReply{}, err
	}
	return reply, nil
}

// baseOf returns the base that a peer most likely has.
func (s *Spread) baseOf(vm types.VMID) types.Digest {
	if known := s.knownOf(vm); known.Revision > 0 {
		return known.Digest
	}
	return s.held.previous()
}

func (s *Spread) knownOf(vm types.VMID) Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[vm]
}

func (s *Spread) learn(vm types.VMID, stamp Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[vm] = stamp
}

// forget drops what is known of daemons that are gone.
func (s *Spread) forget() {
	present := make(map[types.VMID]Stamp)
	targets := s.routes.all()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range targets {
		if stamp, ok := s.known[t.VM]; ok {
			present[t.VM] = stamp
		}
	}
	s.known = present
}

// confirm notes that the store confirmed the record in force the given time ago.
func (s *Spread) confirm(ago time.Duration) {
	at := s.config.Clock.Now().Add(-ago)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.verified) {
		s.verified = at
	}
}

// age returns how long ago the store confirmed the record in force, directly or through peers.
func (s *Spread) age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.verified.IsZero() {
		return neverVerified
	}
	return s.config.Clock.Since(s.verified)
}
