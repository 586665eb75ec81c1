package client

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// idRetention is how long an id is kept in advance; homes know ids for much longer.
	idRetention  = 30 * time.Second
	fetchTimeout = 5 * time.Second
)

type (
	// idPool keeps some ids in advance, so that a request does not wait for one.
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

// nextID returns an id that nobody else gets.
func (p *idPool) nextID(ctx context.Context) (RequestID, error) {
	if id, ok := p.popID(); ok {
		return id, nil
	}
	return p.fetch(ctx)
}

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

// clear drops all ids, because their home no longer knows them.
func (p *idPool) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids = nil
}

// fill fetches ids until the pool is full or an entry fails.
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
