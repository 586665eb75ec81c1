package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
	"github.com/magnoliawalk/magnoliawalk/platform/stand"
)

const (
	memberPrefix = "Flow/Control/Member/"

	// The store takes writeRate writes and readRate reads per second of all daemons together. A renewal counts as
	// 1/renewalsPerRead reads. With StoreFaults the rates are at times divided by up to maxRateDivisor.
	writeRate       = 1200
	readRate        = 6000
	renewalsPerRead = 10
	maxRateDivisor  = 600
	// Without an answer, a call is carried out at once, or with lateShare between minLate and maxLate later, or never.
	lossShare = 0.35
	lateShare = 0.3
	minLate   = time.Second
	maxLate   = 6 * time.Second
	// slowDelay is the time that a slow store takes for each call.
	slowDelay = 300 * time.Millisecond
	// The store refuses some daemons, or limits its rates, for maxRefusal at most. outageTime is how long an outage lasts.
	maxRefusal = 9 * time.Second
	outageTime = 4500 * time.Millisecond
)

// The answers to a daemon that the store refuses.
const (
	refuseUnavailable refusal = iota
	refuseLimited
	refuseReset
	refuseSilent
	refusalCount
)

type (
	// refusal is how the store refuses the calls of a daemon.
	refusal int

	// storeGate passes calls on to the store, with the faults that depend on the call or on its daemon.
	storeGate struct {
		harness *harness
		next    http.Handler
		writes  *rate.Limiter
		reads   *rate.Limiter

		mu      sync.Mutex
		rand    *rand.Rand
		refused map[*daemon]refusal
		// loses is set while answers are lost.
		loses bool
		// refusesWrites is set while all writes are beyond the rate, but not the reads, among them the renewals.
		refusesWrites bool
		// historyFrom is the version from which on the store has its history.
		historyFrom store.Version
	}

	// noAnswer takes the answer to a call that the daemon never gets.
	noAnswer struct{}
)

func newStoreGate(h *harness) *storeGate {
	g := &storeGate{harness: h, refused: make(map[*daemon]refusal), rand: rand.New(rand.NewPCG(h.config.Seed, gateStream))}
	g.writes = rate.NewLimiter(writeRate, writeRate)
	g.reads = rate.NewLimiter(readRate*renewalsPerRead, readRate*renewalsPerRead)
	return g
}

// wrap returns the handler that serves a platform's calls through the gate.
func (g *storeGate) wrap(next http.Handler) http.Handler {
	g.next = next
	return g
}

func (noAnswer) Header() http.Header         { return http.Header{} }
func (noAnswer) Write(b []byte) (int, error) { return len(b), nil }
func (noAnswer) WriteHeader(int)             {}

// ServeHTTP serves a call to the platform. Only calls to the store have faults.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := stand.StoreCallOf(r)
	if call == stand.OtherCall || !g.harness.config.StoreFaults {
		g.next.ServeHTTP(w, r)
		return
	}
	switch how, isRefused := g.findRefusal(r); {
	case isRefused:
		refuse(w, r, how)
	case !g.takeRate(call):
		refuse(w, r, refuseLimited)
	case call == stand.WatchCall && g.isHistoryGone(r):
		w.WriteHeader(http.StatusGone)
	case g.isLost():
		g.lose(r)
		refuse(w, r, refuseSilent)
	default:
		g.next.ServeHTTP(w, r)
	}
}

func refuse(w http.ResponseWriter, r *http.Request, how refusal) {
	switch how {
	case refuseUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case refuseLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case refuseSilent:
		// The server notices that the caller gives up only once it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	default:
		panic(http.ErrAbortHandler)
	}
}

func (g *storeGate) findRefusal(r *http.Request) (refusal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for d, how := range g.refused {
		if d.storeProxy.isFrom(r.RemoteAddr) {
			return how, true
		}
	}
	return 0, false
}

// takeRate reports whether a call is within the rate of its kind.
func (g *storeGate) takeRate(call stand.StoreCall) bool {
	now := g.harness.clock.Now()
	switch call {
	case stand.RenewCall:
		return g.reads.AllowN(now, 1)
	case stand.ReadCall, stand.WatchCall:
		return g.reads.AllowN(now, renewalsPerRead)
	default:
		return g.acceptsWrites() && g.writes.AllowN(now, 1)
	}
}

func (g *storeGate) acceptsWrites() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.refusesWrites
}

func (g *storeGate) setRefusesWrites(refuses bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusesWrites = refuses
}

func (g *storeGate) isHistoryGone(r *http.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return stand.WatchedFrom(r) < g.historyFrom
}

func (g *storeGate) isLost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loses && g.rand.Float64() < lossShare
}

// lose carries out a call whose answer is lost: at once, later, or never.
func (g *storeGate) lose(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	g.mu.Lock()
	draw, delay := g.rand.Float64(), minLate+time.Duration(g.rand.Int64N(int64(maxLate-minLate)))
	g.mu.Unlock()
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	switch {
	case r.Method == http.MethodGet:
	case draw < lateShare:
		go func() {
			g.harness.clock.Sleep(delay)
			g.serveSilently(late)
		}()
	case draw < 2*lateShare:
		g.serveSilently(late)
	}
}

func (g *storeGate) serveSilently(r *http.Request) {
	defer func() {
		// A handler that breaks the connection panics; here there is none.
		_ = recover()
	}()
	g.next.ServeHTTP(noAnswer{}, r)
}

// setRefused sets how the store refuses the daemons.
func (g *storeGate) setRefused(daemons []*daemon, how refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range daemons {
		g.refused[d] = how
	}
}

// serveAgain ends the refusal of the daemons.
func (g *storeGate) serveAgain(daemons []*daemon) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range daemons {
		delete(g.refused, d)
	}
}

func (g *storeGate) setLoses(loses bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loses = loses
}

// divideRates sets the rates of the store to fractions of the usual ones.
func (g *storeGate) divideRates(writeDivisor, readDivisor int) {
	setRate(g.writes, writeRate/writeDivisor)
	setRate(g.reads, readRate*renewalsPerRead/readDivisor)
}

func setRate(l *rate.Limiter, perSecond int) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(perSecond)
}

// restore ends all faults of the gate.
func (g *storeGate) restore() {
	g.mu.Lock()
	clear(g.refused)
	g.loses, g.refusesWrites = false, false
	g.mu.Unlock()
	g.divideRates(1, 1)
}
