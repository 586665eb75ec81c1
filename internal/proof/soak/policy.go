package soak

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/platform/stand"
)

const (
	// otherService is the service to which the queue is moved with ChangingPolicies.
	otherService = types.ServiceName("other")
	// minPolicyTime and maxPolicyTime bound the time between two policies.
	minPolicyTime = 700 * time.Millisecond
	maxPolicyTime = 2500 * time.Millisecond
)

// queuePolicy is what changes of the policy of the queue.
type queuePolicy struct {
	service types.ServiceName
	// isUnadvised means that the queue has no recommendation.
	isUnadvised bool
	// isRemoved means that the route to the queue is removed.
	isRemoved bool
}

// changePolicies writes one catalog with another policy of the queue after the other until ctx ends, the last one with a route.
func (s *faultSeries) changePolicies(ctx context.Context) {
	for ctx.Err() == nil {
		s.writePolicy(s.drawPolicy())
		every.Sleep(ctx, s.harness.clock, minPolicyTime+time.Duration(s.rand.Int64N(int64(maxPolicyTime-minPolicyTime))))
	}
	last := s.drawPolicy()
	last.isRemoved = false
	s.writePolicy(last)
}

func (s *faultSeries) drawPolicy() queuePolicy {
	out := queuePolicy{service: service, isUnadvised: s.rand.IntN(2) == 0, isRemoved: s.rand.IntN(6) == 0}
	if s.rand.IntN(2) == 0 {
		out.service = otherService
	}
	return out
}

func (s *faultSeries) writePolicy(p queuePolicy) {
	s.harness.catalogMu.Lock()
	defer s.harness.catalogMu.Unlock()
	s.harness.policy = p
	version := s.harness.nextCatalog()
	s.harness.recordFault("policy", "version %d: service %s, recommendation %t, route %t", version, p.service, !p.isUnadvised, !p.isRemoved)
	s.harness.writeCatalog(version)
}

// nextCatalog returns the version of the next catalog. The caller must hold h.catalogMu.
func (h *harness) nextCatalog() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalogVersion++
	return h.catalogVersion
}

// writeCatalog writes a catalog with the present policy, with retries. The caller must hold h.catalogMu.
func (h *harness) writeCatalog(version int) {
	c := stand.Catalog{
		Version: version, Host: host, Prefix: prefix, Service: string(h.policy.service), OtherServices: []string{string(service), string(otherService)},
		WithoutAdvice: h.policy.isUnadvised, WithoutQueue: h.policy.isRemoved,
	}
	if h.config.LargeCatalogs {
		c.ExtraRoutes = extraRoutes
	}
	h.retryChange(func() error { return h.platform.WriteCatalog(c) })
}

// serviceAt returns the service of the runner at an address: with ChangingPolicies, every second address is of the other one. The caller
// must hold h.mu.
func (h *harness) serviceAt(address types.Address) types.ServiceName {
	if known, ok := h.services[address]; ok {
		return known
	}
	assigned := service
	if h.config.ChangingPolicies && len(h.services)%2 == 1 {
		assigned = otherService
	}
	h.services[address] = assigned
	return assigned
}
