package once

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

const (
	// markInterval is how often the mark is refreshed, and when a caller may retry while no leader or mark is known.
	markInterval = time.Second
	// callTimeout limits one call to a leader. A registration may take longer by the time that its caller waits.
	callTimeout     = time.Second
	minRetryBackoff = 25 * time.Millisecond
	maxRetryBackoff = 500 * time.Millisecond
	// registerRetryTimeout is how long after its first failure a registration is retried.
	registerRetryTimeout = 2 * time.Second
	// maxPending limits the answers that wait for an acknowledgement, and pendingTimeout how long they are sent again.
	maxPending     = 10_000
	pendingTimeout = 10 * time.Minute
	// maxConcurrentSends limits the answers that one Tick sends at the same time.
	maxConcurrentSends = 64
)

type (
	// ClientConfig holds the settings and dependencies of a Client.
	ClientConfig struct {
		Self    peer.Target
		Clock   clockwork.Clock
		Peers   peer.Caller
		Metrics metrics.Registry
		// Table is this daemon's own table. While this daemon is the leader, calls to the leader go to the table
		// directly; if Table is nil, they go through Peers.
		Table *Table
		// LeaderOf returns the leader of a data centre and its epoch, or false when none is known.
		LeaderOf func(dc types.DataCentre) (peer.Target, types.Epoch, bool)
	}

	// Client is the entry's side of the protocol: it registers ids at their homes and reports the final answers to
	// them. It is safe for concurrent use.
	Client struct {
		config ClientConfig

		mu       sync.Mutex
		mark     Mark
		markedAt time.Time
		pending  []pendingAnswer
	}

	// pendingAnswer is a final answer that the home has not acknowledged yet.
	pendingAnswer struct {
		args    SettleArgs
		addedAt time.Time
	}
)

// NewClient returns a client without a mark; Mint fails until Tick or Register has received one.
func NewClient(c ClientConfig) *Client {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Client{config: c}
}

// Mint returns a new id whose home is this data centre. It makes no remote call. It fails with Unavailable as long as
// no mark of the leader has arrived.
func (c *Client) Mint() (types.RequestID, error) {
	home := c.config.Self.Site.DataCentre
	c.mu.Lock()
	mark := c.mark
	c.mu.Unlock()
	if mark.Table == "" {
		return "", errs.After(errs.Unavailable, markInterval, "no mark of the leader of %s has arrived yet", home)
	}
	return Mint(home, mark), nil
}

// Tick refreshes the mark and sends the answers that homes have not acknowledged yet. It returns after one attempt to
// send each of them.
func (c *Client) Tick(ctx context.Context) {
	c.refreshMark(ctx)
	c.mu.Lock()
	batch := c.pending
	c.pending = nil
	c.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	semaphore := make(chan struct{}, maxConcurrentSends)
	var w sync.WaitGroup
	for _, p := range batch {
		semaphore <- struct{}{}
		w.Go(func() {
			c.deliver(ctx, p)
			<-semaphore
		})
	}
	w.Wait()
}

func (c *Client) refreshMark(ctx context.Context) {
	leader, epoch, ok := c.config.LeaderOf(c.config.Self.Site.DataCentre)
	if !ok || !c.markIsDue(epoch) {
		return
	}
	var mark Mark
	if err := c.call(ctx, leader, methodMark, &MarkArgs{}, &mark); err != nil {
		metrics.GetOrRegisterCounter("Once.MarkFailures", c.config.Metrics).Inc(1)
		return
	}
	c.applyMark(mark)
}

func (c *Client) markIsDue(epoch types.Epoch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return epoch > c.mark.Epoch || c.config.Clock.Since(c.markedAt) >= markInterval
}

// applyMark stores a mark unless a later one is known.
func (c *Client) applyMark(mark Mark) {
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

// Register asks the home for the right to dispatch an id. It retries calls that fail with Unavailable, Lost or Fenced
// until registerRetryTimeout after the first failure. A retry is safe because the home returns the same verdict for the
// same token. An error means that this entry must not dispatch the id.
func (c *Client) Register(ctx context.Context, args RegisterArgs) (*RegisterReply, error) {
	minted, err := types.ParseID(string(args.ID))
	if err != nil {
		return nil, err
	}
	retryBackoff := &backoff.ExponentialBackOff{
		InitialInterval: minRetryBackoff, MaxInterval: maxRetryBackoff, Multiplier: 2, RandomizationFactor: 0.5,
	}
	var failingSince time.Time
	for {
		reply, err := c.tryRegister(ctx, minted.Home, &args)
		if err == nil || !errs.Is(err, errs.Unavailable, errs.Lost, errs.Fenced) {
			return reply, err
		}
		now := c.config.Clock.Now()
		if failingSince.IsZero() {
			failingSince = now
		}
		if now.Sub(failingSince) >= registerRetryTimeout || !every.Sleep(ctx, c.config.Clock, retryBackoff.NextBackOff()) {
			return nil, err
		}
	}
}

// tryRegister calls the home once. The texts of its errors must not change, because they become reasons of answers and
// are written to the audit log.
func (c *Client) tryRegister(ctx context.Context, home types.DataCentre, args *RegisterArgs) (*RegisterReply, error) {
	leader, _, ok := c.config.LeaderOf(home)
	if !ok {
		return nil, errs.After(errs.Unavailable, markInterval, "no lead of %s is known", home)
	}
	limited, cancel := clockwork.WithTimeout(ctx, c.config.Clock, callTimeout+args.Wait)
	defer cancel()
	var reply RegisterReply
	if err := c.call(limited, leader, methodRegister, args, &reply); err != nil {
		return nil, err
	}
	if home == c.config.Self.Site.DataCentre {
		c.applyMark(reply.Mark)
	}
	if reply.Verdict == VerdictFinal && (reply.Answer == nil || reply.Answer.ID != args.ID) {
		return nil, errs.New(errs.Lost, "the home's answer is not that of %s", args.ID)
	}
	return &reply, nil
}

// ReportAnswer reports the final answer of an id to its home. It tries once now and again at each Tick, until the home
// has acknowledged or rejected the answer or pendingTimeout has passed. An answer that can't be sent is discarded if
// maxPending others are already waiting.
func (c *Client) ReportAnswer(ctx context.Context, args SettleArgs) {
	c.deliver(ctx, pendingAnswer{args: args, addedAt: c.config.Clock.Now()})
}

// deliver sends an answer once. If the home has not taken it, the answer is kept for the next Tick, unless it is older
// than pendingTimeout or maxPending others wait.
func (c *Client) deliver(ctx context.Context, p pendingAnswer) {
	if c.sendAnswer(ctx, &p.args) || c.config.Clock.Since(p.addedAt) > pendingTimeout {
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

// sendAnswer sends an answer once. It reports whether the home has accepted it or will never accept it.
func (c *Client) sendAnswer(ctx context.Context, args *SettleArgs) bool {
	minted, err := types.ParseID(string(args.ID))
	if err != nil {
		return true
	}
	leader, _, ok := c.config.LeaderOf(minted.Home)
	if !ok {
		return false
	}
	limited, cancel := clockwork.WithTimeout(ctx, c.config.Clock, callTimeout)
	defer cancel()
	err = c.call(limited, leader, methodSettle, args, &SettleReply{})
	return err == nil || !errs.Is(err, errs.Unavailable, errs.Lost, errs.Fenced)
}

// Pending returns the number of answers that homes have not acknowledged yet.
func (c *Client) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Ask returns the answer to an id as far as its home knows it.
func (c *Client) Ask(ctx context.Context, id types.RequestID) (*types.Answer, error) {
	minted, err := types.ParseID(string(id))
	if err != nil {
		return nil, err
	}
	leader, _, ok := c.config.LeaderOf(minted.Home)
	if !ok {
		return nil, errs.After(errs.Unavailable, markInterval, "no lead of %s is known", minted.Home)
	}
	limited, cancel := clockwork.WithTimeout(ctx, c.config.Clock, callTimeout+askWait)
	defer cancel()
	var reply AskReply
	if err := c.call(limited, leader, methodAsk, &AskArgs{ID: id}, &reply); err != nil {
		return nil, err
	}
	return &reply.Answer, nil
}

// call calls the leader, or this daemon's own table when this daemon is the leader.
func (c *Client) call(ctx context.Context, leader peer.Target, method peer.Method, args, reply any) error {
	if leader.VM != c.config.Self.VM || c.config.Table == nil {
		return c.config.Peers.Call(ctx, leader, method, args, reply)
	}
	return c.callLocal(method, args, reply)
}

func (c *Client) callLocal(method peer.Method, args, reply any) error {
	local := &Service{table: c.config.Table}
	switch a := args.(type) {
	case *RegisterArgs:
		return decodeError(local.Register(a, reply.(*RegisterReply)))
	case *SettleArgs:
		return decodeError(local.Settle(a, reply.(*SettleReply)))
	case *AskArgs:
		return decodeError(local.Ask(a, reply.(*AskReply)))
	case *MarkArgs:
		return decodeError(local.Mark(a, reply.(*Mark)))
	default:
		return errs.New(errs.Internal, "method %s can't be called on the daemon's own table", method)
	}
}

// decodeError restores the error that peer.Wire encoded.
func decodeError(err error) error {
	if err == nil {
		return nil
	}
	return errs.Decode(err.Error())
}
