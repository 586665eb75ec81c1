package client

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// idRetention is how long after its fetch an id of the pool is used. The data centre that issued it keeps it for
	// much longer.
	idRetention = 30 * time.Second
	// fetchTimeout limits one refill of the pool.
	fetchTimeout = 5 * time.Second
)

type (
	// idPool holds ids that were fetched in advance, so that a request does not wait for one. It is safe for concurrent
	// use.
	idPool struct {
		clock clockwork.Clock
		size  int
		fetch func(ctx context.Context) (RequestID, error)

		mu        sync.Mutex
		ids       []cachedID
		isFilling bool
	}

	cachedID struct {
		id        RequestID
		fetchedAt time.Time
	}
)

func newIDPool(clock clockwork.Clock, size int, fetch func(ctx context.Context) (RequestID, error)) *idPool {
	return &idPool{clock: clock, size: size, fetch: fetch}
}

// nextID returns an id that is returned only once: one of the pool or, if the pool is empty, a newly fetched one.
func (p *idPool) nextID(ctx context.Context) (RequestID, error) {
	if id, ok := p.popID(); ok {
		return id, nil
	}
	return p.fetch(ctx)
}

// popID removes the newest id from the pool, together with ids past their retention, and returns it, or false if none
// is left. It starts a refill in the background unless one is in progress.
func (p *idPool) popID() (RequestID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isFilling {
		p.isFilling = true
		go p.fill()
	}
	for len(p.ids) > 0 {
		last := p.ids[len(p.ids)-1]
		p.ids = p.ids[:len(p.ids)-1]
		if p.clock.Since(last.fetchedAt) < idRetention {
			return last.id, true
		}
	}
	return "", false
}

// clear discards all ids. It is called when the data centre that issued them no longer keeps them.
func (p *idPool) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids = nil
}

// fill fetches ids until the pool is full, a fetch fails or fetchTimeout has passed.
func (p *idPool) fill() {
	ctx, cancel := clockwork.WithTimeout(context.Background(), p.clock, fetchTimeout)
	defer cancel()
	for p.hasSpace() {
		id, err := p.fetch(ctx)
		if err != nil {
			break
		}
		p.mu.Lock()
		p.ids = append(p.ids, cachedID{id: id, fetchedAt: p.clock.Now()})
		p.mu.Unlock()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isFilling = false
}

func (p *idPool) hasSpace() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ids) < p.size
}
