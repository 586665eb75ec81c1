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

// storeFor returns the store with the delay to a VM of the site.
func (f *testFleet) storeFor(site types.Site, calls *meter.Meter) store.Store {
	return &delayedStore{fleet: f, site: site, calls: calls}
}

// delay returns the one-way delay between the VM and the store, which is in the region of the first data centre.
func (s *delayedStore) delay() time.Duration {
	if s.site.Region != s.fleet.layout.sites[0].site.Region {
		return s.fleet.layout.crossRegionDelay
	}
	return s.fleet.layout.regionDelay
}

// current returns the store that is in place now; replaceStore may have replaced an earlier one.
func (s *delayedStore) current() store.Store {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return s.fleet.memory.As(s.site.DataCentre, s.calls)
}

// setPartitioned separates two data centres by a network partition, or ends the partition.
func (f *testFleet) setPartitioned(a, b types.DataCentre, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[[2]types.DataCentre{a, b}] = partitioned
	f.partitioned[[2]types.DataCentre{b, a}] = partitioned
}

// setRegionPartitioned separates the data centres of a region from all others and from the store, or ends that
// partition.
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

// takePushDrop counts one push and reports whether it is to be dropped. pushesToDrop falls below 0 once none is left.
func (f *testFleet) takePushDrop() bool {
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

// Call forwards a call with the delay in both directions. In a partition, or when the push is to be dropped, it waits
// for the end of ctx and returns an error of kind Lost.
func (c *delayedCaller) Call(ctx context.Context, to peer.Target, method peer.Method, args, reply any) error {
	if c.fleet.isPartitioned(c.self.Site.DataCentre, to.Site.DataCentre) {
		<-ctx.Done()
		return errs.New(errs.Lost, "the network is partitioned")
	}
	if method == methodPush && c.fleet.takePushDrop() {
		<-ctx.Done()
		return errs.New(errs.Lost, "the push was lost")
	}
	wait := c.fleet.layout.delay(c.self.Site, to.Site)
	time.Sleep(wait)
	err := c.node.Call(ctx, to, method, args, reply)
	time.Sleep(wait)
	return err
}

// Get reads a key after the round trip.
func (s *delayedStore) Get(ctx context.Context, key store.Key) (store.Entry, error) {
	time.Sleep(2 * s.delay())
	return s.current().Get(ctx, key)
}

// List reads keys after the round trip.
func (s *delayedStore) List(ctx context.Context, prefix store.Key) (store.Page, error) {
	time.Sleep(2 * s.delay())
	return s.current().List(ctx, prefix)
}

// Put writes a key after the round trip.
func (s *delayedStore) Put(ctx context.Context, p store.Put) (store.Entry, error) {
	time.Sleep(2 * s.delay())
	return s.current().Put(ctx, p)
}

// Delete removes a key after the round trip.
func (s *delayedStore) Delete(ctx context.Context, key store.Key, expect store.Version) error {
	time.Sleep(2 * s.delay())
	return s.current().Delete(ctx, key, expect)
}

// Grant creates a lease without a delay, as package spread uses no leases.
func (s *delayedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return s.current().Grant(ctx, ttl)
}

// Renew renews a lease without a delay, as package spread uses no leases.
func (s *delayedStore) Renew(ctx context.Context, lease store.LeaseID) error {
	return s.current().Renew(ctx, lease)
}

// Watch reports changes after the one-way delay.
func (s *delayedStore) Watch(ctx context.Context, prefix store.Key, after store.Version) (store.Page, error) {
	page, err := s.current().Watch(ctx, prefix, after)
	time.Sleep(s.delay())
	return page, err
}
