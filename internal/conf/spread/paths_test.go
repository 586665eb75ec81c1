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
func (f *testFleet) storeFor(site types.Site, calls *meter.Meter) store.Store {
	return &delayedStore{fleet: f, site: site, calls: calls}
}

func (s *delayedStore) delay() time.Duration {
	if s.site.Region != s.fleet.layout.sites[0].site.Region {
		return s.fleet.layout.crossRegionDelay
	}
	return s.fleet.layout.regionDelay
}

func (s *delayedStore) current() store.Store {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.fleet.memory.As(s.site.DataCentre, s.calls)
}

// setPartitioned parts two data centres, or joins them again.
func (f *testFleet) setPartitioned(a, b types.DataCentre, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[[2]types.DataCentre{a, b}] = partitioned
	f.partitioned[[2]types.DataCentre{b, a}] = partitioned
}

// setRegionPartitioned parts the data centres of a region from all others and from the store.
func (f *testFleet) setRegionPartitioned(region types.Region, partitioned bool) {
	for _, a := range f.layout.sites {
		if a.site.Region != region {
			continue
		}
		f.memory.Faults.SetPartitioned(a.site.DataCentre, partitioned)
		for _, b := range f.layout.sites {
			if b.site.Region != region {
				f.setPartitioned(a.site.DataCentre, b.site.DataCentre, partitioned)
			}
		}
	}
}

func (f *testFleet) shouldDropPush() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pushesToDrop--
	return f.pushesToDrop >= 0
}

func (f *testFleet) dropNextPushes(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pushesToDrop = n
}

func (f *testFleet) isPartitioned(a, b types.DataCentre) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned[[2]types.DataCentre{a, b}]
}

// Call carries a call there and back; a cut swallows it until the caller gives up.
func (p *delayedCaller) Call(ctx context.Context, to peer.Target, method peer.Method, args, reply any) error {
	if p.fleet.isPartitioned(p.self.Site.DataCentre, to.Site.DataCentre) {
		<-ctx.Done()
		return errs.New(errs.Lost, "cut off")
	}
	if method == methodPush && p.fleet.shouldDropPush() {
		<-ctx.Done()
		return errs.New(errs.Lost, "the push was lost")
	}
	wait := p.fleet.layout.delay(p.self.Site, to.Site)
	time.Sleep(wait)
	err := p.node.Call(ctx, to, method, args, reply)
	time.Sleep(wait)
	return err
}

// Get reads a key after the delay.
func (s *delayedStore) Get(ctx context.Context, key store.Key) (store.Entry, error) {
	time.Sleep(2 * s.delay())
	return s.current().Get(ctx, key)
}

// List reads keys after the delay.
func (s *delayedStore) List(ctx context.Context, prefix store.Key) (store.Page, error) {
	time.Sleep(2 * s.delay())
	return s.current().List(ctx, prefix)
}

// Put writes a key after the delay.
func (s *delayedStore) Put(ctx context.Context, p store.Put) (store.Entry, error) {
	time.Sleep(2 * s.delay())
	return s.current().Put(ctx, p)
}

// Delete removes a key after the delay.
func (s *delayedStore) Delete(ctx context.Context, key store.Key, expect store.Version) error {
	time.Sleep(2 * s.delay())
	return s.current().Delete(ctx, key, expect)
}

// Grant makes a lease; the distribution uses none.
func (s *delayedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return s.current().Grant(ctx, ttl)
}

// Renew extends a lease; the distribution uses none.
func (s *delayedStore) Renew(ctx context.Context, lease store.LeaseID) error {
	return s.current().Renew(ctx, lease)
}

// Watch tells of a change after the delay.
func (s *delayedStore) Watch(ctx context.Context, prefix store.Key, after store.Version) (store.Page, error) {
	page, err := s.current().Watch(ctx, prefix, after)
	time.Sleep(s.delay())
	return page, err
}
