package ledger

import (
	"sync"
	"time"
)

// progress tracks the writes that run and when the store last answered one. While the store answers none, only the oldest is
// tried again, often, and the answer to it lets all others be tried at once: so an end of an outage is noticed soon, and the
// store gets few calls during one. It is safe for concurrent use.
type progress struct {
	mu sync.Mutex
	// running holds the numbers of the segments whose writes run.
	running    map[uint64]struct{}
	answeredAt time.Time
	// changed is closed, and replaced, when a write is answered or ends.
	changed chan struct{}
}

func newProgress() *progress {
	return &progress{running: make(map[uint64]struct{}), changed: make(chan struct{})}
}

func (p *progress) begin(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[number] = struct{}{}
}

func (p *progress) end(number uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, number)
	p.wake()
}

// noteAnswer records that the store has answered a write.
func (p *progress) noteAnswer(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answeredAt = now
	p.wake()
}

// wake closes the present channel. The caller must hold p.mu.
func (p *progress) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// watch returns a channel that is closed at the next change.
func (p *progress) watch() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// mayRetry reports whether a write whose latest try was sent at the given time may be tried again.
func (p *progress) mayRetry(number uint64, triedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answeredAt.After(triedAt) || p.isOldest(number)
}

// isOldest reports whether no write of an older segment runs. The caller must hold p.mu.
func (p *progress) isOldest(number uint64) bool {
	for other := range p.running {
		if other < number {
			return false
		}
	}
	return true
}
