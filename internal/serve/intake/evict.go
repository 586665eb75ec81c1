package intake

import (
	"cmp"
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

const (
	// evictTo is the share of the limit of bytes that evictions leave, in percent. Evicting a few at a time saves a search for each.
	evictTo = 90
	// maxReleasing is the share of the limit of bytes that evicted requests may not have released yet while others are read, in percent.
	maxReleasing = 10
	// minAge is added to the ages of requests, so that among those that have just begun the larger ones are evicted first.
	minAge = time.Millisecond
	// evictedRetryAfter is the time after which a client may send a request again that was evicted.
	evictedRetryAfter = time.Second
	// logInterval is the shortest time between two log lines on evictions.
	logInterval = time.Second
)

// ErrEvicted is the error of reading from a connection that was evicted before its request was complete. It has a timeout, since net/http
// closes a connection without an answer then if the header is not complete.
var ErrEvicted error = evictedError{}

// longPast is a read deadline that has passed on every clock.
var longPast = time.Unix(1, 0)

type evictedError struct{}

// Error implements error.
func (evictedError) Error() string {
	return "the request was evicted, since it was not complete and the server was full"
}

// Timeout implements net.Error.
func (evictedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (evictedError) Temporary() bool { return false }

// Unwrap returns an error of kind Unavailable, with when to try again.
func (evictedError) Unwrap() error {
	return errs.After(errs.Unavailable, evictedRetryAfter, "the server holds as many bytes of requests as it may")
}

// evictHolders evicts requests that are not complete until evictTo percent of the limit are held: first those that have held the most
// bytes for the longest time. Ordinary requests are small and arrive soon, so that those of a crowd come first. The caller must hold g.mu.
func (g *Gate) evictHolders() {
	now := g.clock.Now()
	var holders []*Conn
	for c := range g.conns {
		if c.held > 0 && (c.phase == inHeader || c.phase == inBody) {
			holders = append(holders, c)
		}
	}
	slices.SortFunc(holders, func(a, b *Conn) int { return cmp.Compare(b.weight(now), a.weight(now)) })
	evicted := 0
	for _, c := range holders {
		if g.held <= g.limits.Bytes/100*evictTo {
			break
		}
		g.evict(c)
		evicted++
	}
	g.logEvictions(now, evicted)
}

// closeOne closes the connection that has been idle for the longest time, or if none is idle one whose request is not complete: the one
// that has held the most bytes for the longest time. It returns false if there is none. The caller must hold g.mu.
func (g *Gate) closeOne(now time.Time) bool {
	var chosen *Conn
	for c := range g.conns {
		if c.phase != served && (chosen == nil || c.goesBefore(chosen, now)) {
			chosen = c
		}
	}
	if chosen == nil {
		return false
	}
	g.closed.Inc(1)
	g.logEvictions(now, 1)
	if !chosen.evicted {
		g.evict(chosen)
	}
	// Closing frees the descriptor at once, while the server would do so only when it gets to it. An error means that it has done so.
	_ = chosen.Conn.Close()
	delete(g.conns, chosen)
	return true
}

// goesBefore reports whether a connection is closed rather than another one.
func (c *Conn) goesBefore(other *Conn, now time.Time) bool {
	if (c.phase == idle) != (other.phase == idle) {
		return c.phase == idle
	}
	if c.phase == idle {
		return c.since.Before(other.since)
	}
	return c.weight(now) > other.weight(now)
}

// weight returns what a connection's request has cost so far, in bytes times seconds.
func (c *Conn) weight(now time.Time) float64 {
	return float64(connBuffer+c.held) * (now.Sub(c.since) + minAge).Seconds()
}

// evict makes reading from a connection fail and ends the context of its request, so that the request is refused if its header is
// complete, and the connection closed. The caller must hold g.mu.
func (g *Gate) evict(c *Conn) {
	c.evicted = true
	c.releasing = c.held
	g.releasing += c.releasing
	g.hold(c, 0)
	g.released.Broadcast()
	g.evictions.Inc(1)
	if c.cancel != nil {
		c.cancel()
	}
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(longPast)
}

// awaitRelease waits while evicted requests have not released what they held, so that others do not take the memory before it is free. A
// process that is short of processor time reads faster than it can answer.
func (g *Gate) awaitRelease(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.releasing > g.limits.Bytes/100*maxReleasing && !c.evicted && c.phase != served {
		g.released.Wait()
	}
}

// release records that a connection has released what it held when it was evicted. The caller must hold g.mu.
func (g *Gate) release(c *Conn) {
	if c.releasing == 0 {
		return
	}
	g.releasing -= c.releasing
	c.releasing = 0
	g.released.Broadcast()
}

// logEvictions logs evictions, at most once in logInterval. The caller must hold g.mu.
func (g *Gate) logEvictions(now time.Time, count int) {
	g.unlogged += count
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.log.Warn().Int("Count", g.unlogged).Int("Connections", len(g.conns)).Int64("HeldBytes", g.held).
		Msg("idle connections or requests that were not complete were evicted, since the server is full")
	g.loggedAt, g.unlogged = now, 0
}
