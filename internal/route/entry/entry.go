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

	maxAttempts    = 4
	minRetryAfter  = 100 * time.Millisecond
	maxRetryAfter  = 30 * time.Second
	callSmoothing  = 8
	settleGrace    = time.Second
	linkOverhead   = 512
	firstRetryWait = 5 * time.Millisecond
	lastRetryWait  = 500 * time.Millisecond
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
		budget  *budget
		link    *rate.Limiter

		mu       sync.Mutex
		services map[types.ServiceName]*service
		waiting  [3]int
		inFlight int
		draining bool
		idle     chan struct{}
		// late is kept between ticks to save allocations.
		late []*queue.Item
		// wake tells Run that a request began to wait.
		wake chan struct{}
	}

	// pace is a ticker whose period changes. Setting the period that it has does not start it again.
	pace struct {
		ticker clockwork.Ticker
		period time.Duration
	}

	// service is the waiting requests of one service and how fast they are served.
	service struct {
		queue queue.Queue
		// took is the smoothed time of a call.
		took time.Duration
		// near is how many slots of this region were held at the last tick.
		near int
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
		budget:   newBudget(),
		link:     rate.NewLimiter(0, 0),
		services: make(map[types.ServiceName]*service),
		wake:     make(chan struct{}, 1),
	}
	c.Holder.Notify(e.pump)
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
	pace := pace{ticker: ticker, period: IdleTickEvery}
	slow := e.config.Clock.NewTicker(lend.TickEvery)
	defer slow.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
			pace.set(TickEvery)
		case <-ticker.Chan():
			e.Tick()
			if !e.waits() {
				pace.set(IdleTickEvery)
			}
		case <-slow.Chan():
			go e.config.Once.Tick(ctx)
		}
	}
}

func (p *pace) set(period time.Duration) {
	if p.period != period {
		p.period = period
		p.ticker.Reset(period)
	}
}

// waits tells whether any request waits for a slot.
func (e *Entry) waits() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.waiting {
		if n > 0 {
			return true
		}
	}
	return false
}

// hurry makes Run tick fast, because a request began to wait.
func (e *Entry) hurry() {
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
	var over []refusal
	for name, s := range e.services {
		s.near = e.config.Holder.Held(name, lend.Regional)
		over = append(over, e.overdue(name, s, now)...)
		names = append(names, name)
	}
	e.mu.Unlock()
	for _, x := range over {
		x.refuse()
	}
	for _, name := range names {
		e.pump(name)
	}
}

// applyDocument takes over the limits of the document in force.
func (e *Entry) applyDocument() {
	doc, _ := e.config.Document()
	if doc == nil {
		return
	}
	e.limitLink(doc.Link.RequestBytesPerSecond)
	for _, s := range doc.Services {
		e.serviceOf(s.Name)
	}
}

// limitLink gives this entry its part of the data centre's budget of the paid link.
func (e *Entry) limitLink(perSecond types.Bytes) {
	parts := 1
	if e.config.Entries != nil {
		parts = max(1, e.config.Entries())
	}
	part := float64(perSecond) / float64(parts)
	if rate.Limit(part) == e.link.Limit() {
		return
	}
	now := e.config.Clock.Now()
	e.link.SetLimitAt(now, rate.Limit(part))
	e.link.SetBurstAt(now, int(part))
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
		return e.unknownAt(id, err)
	}
	return answer
}

// Drain stops taking requests, waits for those in flight, and gives back all slots.
func (e *Entry) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	idle := make(chan struct{})
	e.idle = idle
	if e.inFlight == 0 {
		close(idle)
		e.idle = nil
	}
	e.mu.Unlock()
	e.config.Log.Info().Msg("draining")
	select {
	case <-idle:
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

// enter counts a request in, unless the entry drains.
func (e *Entry) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return false
	}
	e.inFlight++
	return true
}

func (e *Entry) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	if e.inFlight == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

func (e *Entry) unknownAt(id types.RequestID, err error) *types.Answer {
	a := types.Refused(id, types.OutcomeUnknown, err)
	if minted, parseErr := types.ParseID(string(id)); parseErr == nil {
		a.AskAt = minted.Home
	}
	return a
}
