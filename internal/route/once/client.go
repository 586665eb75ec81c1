package once

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

const (
	markEvery      = time.Second
	callTimeout    = time.Second
	firstRetry     = 25 * time.Millisecond
	longestRetry   = 500 * time.Millisecond
	registerWithin = 2 * time.Second
	maxPending     = 10_000
	pendingFor     = 10 * time.Minute
	maxAtOnce      = 64
)

type (
	// ClientConfig holds what a Client needs.
	ClientConfig struct {
		Self    peer.Target
		Clock   clockwork.Clock
		Peers   peer.Caller
		Metrics metrics.Registry
		// Table is this daemon's own table; calls to this daemon as the lead go to it directly.
		Table *Table
		// Leads returns the lead of a data centre and its epoch.
		Leads func(dc types.DataCentre) (peer.Target, types.Epoch, bool)
	}

	// Client is the entry's side: it asks homes for ids and tells them how the ids ended. It is safe for concurrent use.
	Client struct {
		config ClientConfig

		mu       sync.Mutex
		mark     Mark
		markedAt time.Time
		pending  []pending
	}

	// pending is a final answer that the home has not taken yet.
	pending struct {
		args  SettleArgs
		since time.Time
	}
)

// NewClient returns a client without a mark.
func NewClient(c ClientConfig) *Client {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Client{config: c}
}

// Mint returns a new id whose home is this data centre. It makes no call.
func (c *Client) Mint() (types.RequestID, error) {
	home := c.config.Self.Site.DataCentre
	c.mu.Lock()
	mark := c.mark
	c.mu.Unlock()
	if mark.Table == "" {
		return "", errs.After(errs.Unavailable, markEvery, "the lead of %s is not known yet", home)
	}
	return Mint(home, mark), nil
}

// Tick refreshes the mark and sends the answers that homes have not taken yet.
func (c *Client) Tick(ctx context.Context) {
	c.refreshMark(ctx)
	c.mu.Lock()
	batch := c.pending
	c.pending = nil
	c.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	limit := make(chan struct{}, maxAtOnce)
	var w sync.WaitGroup
	for _, p := range batch {
		limit <- struct{}{}
		w.Go(func() {
			c.deliver(ctx, p)
			<-limit
		})
	}
	w.Wait()
}

func (c *Client) refreshMark(ctx context.Context) {
	lead, epoch, ok := c.config.Leads(c.config.Self.Site.DataCentre)
	if !ok || !c.markIsDue(epoch) {
		return
	}
	var mark Mark
	if err := c.call(ctx, lead, methodMark, &MarkArgs{}, &mark); err != nil {
		metrics.GetOrRegisterCounter("Once.MarkFailures", c.config.Metrics).Inc(1)
		return
	}
	c.learn(mark)
}

func (c *Client) markIsDue(epoch types.Epoch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return epoch > c.mark.Epoch || c.config.Clock.Since(c.markedAt) >= markEvery
}

// learn takes over a mark unless a later one is known.
func (c *Client) learn(mark Mark) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mark.Epoch < c.mark.Epoch {
		return
	}
	c.markedAt = c.config.Clock.Now()
	if mark.Table == c.mark.Table && mark.Generation < c.mark.Generation {
		return
	}
	c.mark = mark
}

// Register asks the home for an id. It repeats a call that failed, for a short time: with the same token the home
// gives the same verdict. An error means that this entry must not dispatch the id.
func (c *Client) Register(ctx context.Context, args RegisterArgs) (*RegisterReply, error) {
	minted, err := types.ParseID(string(args.ID))
	if err != nil {
		return nil, err
	}
	waits := &backoff.ExponentialBackOff{
		InitialInterval: firstRetry, MaxInterval: longestRetry, Multiplier: 2, RandomizationFactor: 0.5,
	}
	var failing time.Time
	for {
		reply, err := c.registerOnce(ctx, minted.Home, &args)
		if err == nil || !errs.Is(err, errs.Unavailable, errs.Lost, errs.Fenced) {
			return reply, err
		}
		now := c.config.Clock.Now()
		if failing.IsZero() {
			failing = now
		}
		if now.Sub(failing) >= registerWithin || !c.pause(ctx, waits.NextBackOff()) {
			return nil, err
		}
	}
}

func (c *Client) registerOnce(ctx context.Context, home types.DataCentre, args *RegisterArgs) (*RegisterReply, error) {
	lead, _, ok := c.config.Leads(home)
	if !ok {
		return nil, errs.After(errs.Unavailable, markEvery, "no lead of %s is known", home)
	}
	limited, cancel := clockwork.WithTimeout(ctx, c.config.Clock, callTimeout+args.Wait)
	defer cancel()
	var reply RegisterReply
	if err := c.call(limited, lead, methodRegister, args, &reply); err != nil {
		return nil, err
	}
	if home == c.config.Self.Site.DataCentre {
		c.learn(reply.Mark)
	}
	if reply.Verdict == VerdictFinal && (reply.Answer == nil || reply.Answer.ID != args.ID) {
		return nil, errs.New(errs.Lost, "the home's answer is not that of %s", args.ID)
	}
	return &reply, nil
}

func (c *Client) pause(ctx context.Context, wait time.Duration) bool {
	timer := c.config.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// Settle tells the home how an id ended. It tries once now and goes on at each tick until the home took it.
func (c *Client) Settle(ctx context.Context, args SettleArgs) {
	c.deliver(ctx, pending{args: args, since: c.config.Clock.Now()})
}

func (c *Client) deliver(ctx context.Context, p pending) {
	if c.settleOnce(ctx, &p.args) || c.config.Clock.Since(p.since) > pendingFor {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPending {
		metrics.GetOrRegisterCounter("Once.SettlesDropped", c.config.Metrics).Inc(1)
		return
	}
	c.pending = append(c.pending, p)
}

// settleOnce returns whether the home took the answer, or will never take it.
func (c *Client) settleOnce(ctx context.Context, args *SettleArgs) bool {
	minted, err := types.ParseID(string(args.ID))
	if err != nil {
		return true
	}
	lead, _, ok := c.config.Leads(minted.Home)
	if !ok {
		return false
	}
	limited, cancel := clockwork.WithTimeout(ctx, c.config.Clock, callTimeout)
	defer cancel()
	err = c.call(limited, lead, methodSettle, args, &SettleReply{})
	return err == nil || !errs.Is(err, errs.Unavailable, errs.Lost, errs.Fenced)
}

// Pending returns how many answers homes have not taken yet.
func (c *Client) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Ask asks the home what became of an id.
func (c *Client) Ask(ctx context.Context, id types.RequestID) (*types.Answer, error) {
	minted, err := types.ParseID(string(id))
	if err != nil {
		return nil, err
	}
	lead, _, ok := c.config.Leads(minted.Home)
	if !ok {
		return nil, errs.After(errs.Unavailable, markEvery, "no lead of %s is known", minted.Home)
	}
	limited, cancel := clockwork.WithTimeout(ctx, c.config.Clock, callTimeout)
	defer cancel()
	var reply AskReply
	if err := c.call(limited, lead, methodAsk, &AskArgs{ID: id}, &reply); err != nil {
		return nil, err
	}
	return &reply.Answer, nil
}

// call calls the lead, or this daemon's own table when it is the lead.
func (c *Client) call(ctx context.Context, lead peer.Target, method peer.Method, args, reply any) error {
	if lead.VM != c.config.Self.VM || c.config.Table == nil {
		return c.config.Peers.Call(ctx, lead, method, args, reply)
	}
	return c.callSelf(method, args, reply)
}

func (c *Client) callSelf(method peer.Method, args, reply any) error {
	own := &Service{table: c.config.Table}
	switch a := args.(type) {
	case *RegisterArgs:
		return unwire(own.Register(a, reply.(*RegisterReply)))
	case *SettleArgs:
		return unwire(own.Settle(a, reply.(*SettleReply)))
	case *AskArgs:
		return unwire(own.Ask(a, reply.(*AskReply)))
	case *MarkArgs:
		return unwire(own.Mark(a, reply.(*Mark)))
	default:
		return errs.New(errs.Internal, "%s is not called at this daemon itself", method)
	}
}

func unwire(err error) error {
	if err == nil {
		return nil
	}
	return errs.Decode(err.Error())
}
