// Package entry is the path of a request on an entry: admission, queue, choice of a runner, retries, answer.
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
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
	"github.com/magnoliawalk/magnoliawalk/internal/route/lend"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
	"github.com/magnoliawalk/magnoliawalk/internal/route/queue"
)

const (
	// TickEvery is how often waiting requests are looked at.
	TickEvery = 25 * time.Millisecond
	// IdleTickEvery is how often an entry looks around while no request waits.
	IdleTickEvery = 250 * time.Millisecond
	// FarAfter is how long a request waits for a slot of its own region before it may use the paid link.
	FarAfter = 100 * time.Millisecond
	// NoRunnerAfter is how long a request waits when no slot of its service is held at all.
	NoRunnerAfter = 2 * time.Second

	maxAttempts       = 4
	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	callTimeSmoothing = 8
	inDoubtMargin     = time.Second
	linkOverheadBytes = 512
	minRetryBackoff   = 5 * time.Millisecond
	maxRetryBackoff   = 500 * time.Millisecond
)

type (
	// Config holds what an Entry needs.
	Config struct {
		Self    peer.Target
		Clock   clockwork.Clock
		Runner  runner.Runner
		Holder  *lend.Holder
		Once    *once.Client
		Audit   audit.Recorder
		Log     zerolog.Logger
		Metrics metrics.Registry
		// Document returns the document in force, or nil as long as there is none.
		Document func() (*envdoc.Document, types.Revision)
		// Entries returns how many entries share the link's budget of this data centre; nil means one.
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
		drained        chan struct{}
		// overdueScratch is kept between ticks to save allocations.
		overdueScratch []*queue.Item
		// wake tells Run that a request began to wait.
		wake chan struct{}
	}

	// variableTicker is a ticker whose period changes. Setting the period that it has does not start it again.
	variableTicker struct {
		ticker   clockwork.Ticker
		interval time.Duration
	}

	// service is the waiting requests of one service and how fast they are served.
	service struct {
		queue queue.Queue
		// callTime is the smoothed time of a call.
		callTime time.Duration
		// nearSlots is how many slots of this region were held at the last tick.
		nearSlots int
	}

	// counters are the entry's metrics.
	counters struct {
		accepted, done, notRun, unknown, shed, expired, retried, far metrics.Counter
	}
)

// New returns an entry that takes requests at once.
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

// Run looks after waiting requests until ctx ends. It ticks slowly while none waits, so that an idle entry costs
// little processor time.
func (e *Entry) Run(ctx context.Context) error {
	ticker := e.config.Clock.NewTicker(IdleTickEvery)
	defer ticker.Stop()
	queueTicker := variableTicker{ticker: ticker, interval: IdleTickEvery}
	onceTicker := e.config.Clock.NewTicker(lend.TickEvery)
	defer onceTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
			queueTicker.setInterval(TickEvery)
		case <-ticker.Chan():
			e.Tick()
			if !e.hasWaiting() {
				queueTicker.setInterval(IdleTickEvery)
			}
		case <-onceTicker.Chan():
			go e.config.Once.Tick(ctx)
		}
	}
}

func (p *variableTicker) setInterval(interval time.Duration) {
	if p.interval != interval {
		p.interval = interval
		p.ticker.Reset(interval)
	}
}

// hasWaiting tells whether any request waits for a slot.
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

// wakeRun makes Run tick fast, because a request began to wait.
func (e *Entry) wakeRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Tick ends requests that waited too long and gives out slots.
func (e *Entry) Tick() {
	now := e.config.Clock.Now()
	e.applyDocument()
	e.mu.Lock()
	var names []types.ServiceName
	var rejections []rejection
	for name, s := range e.services {
		s.nearSlots = e.config.Holder.Held(name, lend.Regional)
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

// applyDocument takes over the limits of the document in force.
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

// setLinkRate gives this entry its part of the data centre's budget of the paid link.
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

// Mint returns the id for a request that is yet to be sent.
func (e *Entry) Mint() (types.RequestID, error) {
	return e.config.Once.Mint()
}

// Ask returns what became of a non-idempotent request.
func (e *Entry) Ask(ctx context.Context, id types.RequestID) *types.Answer {
	answer, err := e.config.Once.Ask(ctx, id)
	if err != nil {
		return e.unknownAnswer(id, err)
	}
	return answer
}

// Drain stops taking requests, waits for those in flight, and gives back all slots.
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
		return errs.New(errs.Deadline, "requests are still in flight: %v", ctx.Err())
	}
	e.config.Once.Tick(ctx)
	e.config.Holder.Close(ctx)
	return nil
}

// Draining tells whether the entry takes no more requests.
func (e *Entry) Draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// beginRequest counts a request in, unless the entry drains.
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
	a := types.Refused(id, types.OutcomeUnknown, err)
	if minted, parseErr := types.ParseID(string(id)); parseErr == nil {
		a.AskAt = minted.Home
	}
	return a
}
