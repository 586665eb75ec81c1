package spread

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// storeFor returns the store as a VM of the site reaches it.
func (w *world) storeFor(site types.Site, calls *meter.Meter) store.Store {
	return &slowStore{world: w, site: site, calls: calls}
}

func (s *slowStore) delay() time.Duration {
	if s.site.Region != s.world.layout.places[0].site.Region {
		return s.world.layout.regions
	}
	return s.world.layout.near
}

func (s *slowStore) now() store.Store {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return s.world.memory.As(s.site.DataCentre, s.calls)
}

// cutOff parts two data centres, or joins them again.
func (w *world) cutOff(a, b types.DataCentre, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]types.DataCentre{a, b}] = cut
	w.cut[[2]types.DataCentre{b, a}] = cut
}

// cutRegion parts the data centres of a region from all others and from the store.
func (w *world) cutRegion(region types.Region, cut bool) {
	for _, a := range w.layout.places {
		if a.site.Region != region {
			continue
		}
		w.memory.Faults.SetPartitioned(a.site.DataCentre, cut)
		for _, b := range w.layout.places {
			if b.site.Region != region {
				w.cutOff(a.site.DataCentre, b.site.DataCentre, cut)
			}
		}
	}
}

func (w *world) dropPush() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drops--
	return w.drops >= 0
}

func (w *world) loseNextPushes(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drops = n
}

func (w *world) isCut(a, b types.DataCentre) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]types.DataCentre{a, b}]
}

// Call carries a call there and back; a cut swallows it until the caller gives up.
func (p *path) Call(ctx context.Context, to peer.Target, method peer.Method, args, reply any) error {
	if p.world.isCut(p.self.Site.DataCentre, to.Site.DataCentre) {
		<-ctx.Done()
		return errs.New(errs.Lost, "cut off")
	}
	if method == methodPush && p.world.dropPush() {
		<-ctx.Done()
		return errs.New(errs.Lost, "the push was lost")
	}
	wait := p.world.layout.delay(p.self.Site, to.Site)
	time.Sleep(wait)
	err := p.node.Call(ctx, to, method, args, reply)
	time.Sleep(wait)
	return err
}

// Get reads a key after the delay.
func (s *slowStore) Get(ctx context.Context, key store.Key) (store.Entry, error) {
	time.Sleep(2 * s.delay())
	return s.now().Get(ctx, key)
}

// List reads keys after the delay.
func (s *slowStore) List(ctx context.Context, prefix store.Key) (store.Page, error) {
	time.Sleep(2 * s.delay())
	return s.now().List(ctx, prefix)
}

// Put writes a key after the delay.
func (s *slowStore) Put(ctx context.Context, p store.Put) (store.Entry, error) {
	time.Sleep(2 * s.delay())
	return s.now().Put(ctx, p)
}

// Delete removes a key after the delay.
func (s *slowStore) Delete(ctx context.Context, key store.Key, expect store.Version) error {
	time.Sleep(2 * s.delay())
	return s.now().Delete(ctx, key, expect)
}

// Grant makes a lease; the distribution uses none.
func (s *slowStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return s.now().Grant(ctx, ttl)
}

// Renew extends a lease; the distribution uses none.
func (s *slowStore) Renew(ctx context.Context, lease store.LeaseID) error {
	return s.now().Renew(ctx, lease)
}

// Watch tells of a change after the delay.
func (s *slowStore) Watch(ctx context.Context, prefix store.Key, after store.Version) (store.Page, error) {
	page, err := s.now().Watch(ctx, prefix, after)
	time.Sleep(s.delay())
	return page, err
}
