// Package entry routes the requests that arrive at an entry VM: admission, queue, choice of a runner, retries, answer.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/route/lend"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
	"github.com/magnoliawalk/magnoliawalk/internal/route/queue"
)

const (
	// TickInterval is the interval at which waiting requests are checked.
	TickInterval = 25 * time.Millisecond
	// IdleTickInterval is the tick interval while no request waits.
	IdleTickInterval = 250 * time.Millisecond
	// FarDelay is how long a request waits for a slot of its own region, if the entry holds any, before it may be sent
	// over the paid link to another region.
	FarDelay = 100 * time.Millisecond
	// NoRunnerTimeout is how long a request waits before it is rejected when no slot of its service is held at all.
	NoRunnerTimeout = 2 * time.Second

	maxAttempts   = 4
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// callTimeSmoothing is the divisor of the moving average of call times: a new call has the weight
	// 1/callTimeSmoothing.
	callTimeSmoothing = 8
	// inDoubtMargin is how long after the deadline the slot of a call in doubt stays taken.
	inDoubtMargin = time.Second
	// linkOverheadBytes is what a request uses of the link's budget in addition to its body.
	linkOverheadBytes = 512
	minRetryBackoff   = 5 * time.Millisecond
	maxRetryBackoff   = 500 * time.Millisecond
)

type (
	// Config holds the settings and dependencies of an Entry.
	Config struct {
		Self    peer.Target
		Clock   clockwork.Clock
		Runner  runner.Runner
		Holder  *lend.Holder
		Once    *once.Client
		Audit   audit.Recorder
		Log     zerolog.Logger
		Metrics metrics.Registry
		// Document returns the environment document in force, or nil as long as there is none.
		Document func() (*envdoc.Document, types.Revision)
		// Entries returns the number of entries that share the link's budget of this data centre; nil means one.
		Entries func() int
	}

	// Entry routes callers' requests to runners. It is safe for concurrent use.
	Entry struct {
		config  Config
		metrics counters
		budget  *retryBudget
		link    *rate.Limiter

		mu             sync.Mutex
		services       map[types.ServiceName]*service
		waitingByClass [3]int
		inFlight       int
		draining       bool
		// drained is closed once a draining entry has no request in flight.
		drained chan struct{}
		// overdueScratch is reused between ticks to save allocations.
		overdueScratch []*queue.Item
		// wake signals Run that a request has begun to wait.
		wake chan struct{}
	}

	// variableTicker is a ticker with a variable interval. Setting the interval that it already has does not restart
	// it, so that the next tick is not delayed.
	variableTicker struct {
		ticker   clockwork.Ticker
		interval time.Duration
	}

	// service holds the waiting requests of one service and what determines how fast they are served.
	service struct {
		queue queue.Queue
		// callTime is the exponential moving average of the time of a call.
		callTime time.Duration
		// regionalSlots is the number of slots of this region that were held at the last tick.
		regionalSlots int
	}

	// counters are the entry's metrics. shed counts both the new requests that were rejected at admission because of load
	// and the waiting ones that were displaced by new ones; expired counts the requests that waited too long.
	counters struct {
		accepted, done, notRun, unknown, shed, expired, retried, far metrics.Counter
	}
)

// New returns an entry that accepts requests at once.
func New(c Config) *Entry {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	e := &Entry{
		config:   c,
		metrics:  newCounters(c.Metrics),
		budget:   newRetryBudget(),
		link:     rate.NewLimiter(0, 0),
		services: make(map[types.ServiceName]*service),
		wake:     make(chan struct{}, 1),
	}
	c.Holder.Notify(e.assignFreeSlots)
	return e
}

func newCounters(r metrics.Registry) counters {
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Entry."+name, r) }
	return counters{
		accepted: get("Accepted"), done: get("Done"), notRun: get("NotRun"), unknown: get("Unknown"),
		shed: get("Shed"), expired: get("Expired"), retried: get("Retried"), far: get("Far"),
	}
}

// Run calls Tick, and the Tick of the once client, until ctx ends. It ticks at IdleTickInterval while no request waits,
// so that an idle entry uses little CPU time.
func (e *Entry) Run(ctx context.Context) error {
	ticker := e.config.Clock.NewTicker(IdleTickInterval)
	defer ticker.Stop()
	queueTicker := variableTicker{ticker: ticker, interval: IdleTickInterval}
	onceTicker := e.config.Clock.NewTicker(lend.TickInterval)
	defer onceTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
			queueTicker.setInterval(TickInterval)
		case <-ticker.Chan():
			e.Tick()
			if !e.hasWaiting() {
				queueTicker.setInterval(IdleTickInterval)
			}
		case <-onceTicker.Chan():
			go e.config.Once.Tick(ctx)
		}
	}
}

func (t *variableTicker) setInterval(interval time.Duration) {
	if t.interval != interval {
		t.interval = interval
		t.ticker.Reset(interval)
	}
}

// hasWaiting reports whether any request waits for a slot.
func (e *Entry) hasWaiting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.waitingByClass {
		if n > 0 {
			return true
		}
	}
	return false
}

// wakeRun makes Run tick at TickInterval, because a request has begun to wait.
func (e *Entry) wakeRun() {
	every.Wake(e.wake)
}

// Tick applies the environment document, rejects requests that have waited too long and assigns free slots to the
// others.
func (e *Entry) Tick() {
	now := e.config.Clock.Now()
	e.applyDocument()
	e.mu.Lock()
	var names []types.ServiceName
	var rejections []rejection
	for name, s := range e.services {
		s.regionalSlots = e.config.Holder.Held(name, lend.Regional)
		rejections = append(rejections, e.removeOverdue(name, s, now)...)
		names = append(names, name)
	}
	e.mu.Unlock()
	for _, x := range rejections {
		x.send()
	}
	for _, name := range names {
		e.assignFreeSlots(name)
	}
}

// applyDocument applies the link's budget and the list of services of the environment document in force.
func (e *Entry) applyDocument() {
	doc, _ := e.config.Document()
	if doc == nil {
		return
	}
	e.setLinkRate(doc.Link.RequestBytesPerSecond)
	for _, s := range doc.Services {
		e.serviceOf(s.Name)
	}
}

// setLinkRate limits the paid link to this entry's share of the data centre's budget, in bytes per second.
func (e *Entry) setLinkRate(perSecond types.Bytes) {
	entries := 1
	if e.config.Entries != nil {
		entries = max(1, e.config.Entries())
	}
	share := float64(perSecond) / float64(entries)
	if rate.Limit(share) == e.link.Limit() {
		return
	}
	now := e.config.Clock.Now()
	e.link.SetLimitAt(now, rate.Limit(share))
	e.link.SetBurstAt(now, int(share))
}

func (e *Entry) serviceOf(name types.ServiceName) *service {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.services[name]
	if !ok {
		s = &service{}
		e.services[name] = s
		e.config.Holder.Queued(name, 0)
	}
	return s
}

// Mint returns a new id for a request that is yet to be sent.
func (e *Entry) Mint() (types.RequestID, error) {
	return e.config.Once.Mint()
}

// Ask returns the answer to a non-idempotent request as far as its home knows it, with the outcome Unknown otherwise.
func (e *Entry) Ask(ctx context.Context, id types.RequestID) *types.Answer {
	answer, err := e.config.Once.Ask(ctx, id)
	if err != nil {
		return e.unknownAnswer(id, err)
	}
	return answer
}

// Drain stops accepting requests, waits for those in flight, and returns all slots to the leaders that lent them. It
// returns a Deadline error when ctx ends first.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	drained := make(chan struct{})
	e.drained = drained
	if e.inFlight == 0 {
		close(drained)
		e.drained = nil
	}
	e.mu.Unlock()
	e.config.Log.Info().Msg("draining")
	select {
	case <-drained:
	case <-ctx.Done():
		return errs.New(errs.Deadline, "the drain ended with requests still in flight: %v", ctx.Err())
	}
	e.config.Once.Tick(ctx)
	e.config.Holder.Close(ctx)
	return nil
}

// Draining reports whether the entry accepts no more requests.
func (e *Entry) Draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// beginRequest counts a request as in flight. It returns false, and counts nothing, when the entry is draining.
func (e *Entry) beginRequest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.inFlight++
	return true
}

func (e *Entry) endRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if e.inFlight == 0 && e.drained != nil {
		close(e.drained)
		e.drained = nil
	}
}

func (e *Entry) unknownAnswer(id types.RequestID, err error) *types.Answer {
	a := types.NewUnfinishedAnswer(id, types.OutcomeUnknown, err)
	if minted, parseErr := types.ParseID(string(id)); parseErr == nil {
		a.AskAt = minted.Home
	}
	return a
}
