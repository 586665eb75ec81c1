package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

const (
	// dispatchDelay lets orders accumulate, so that one call carries many.
	dispatchDelay = 4 * time.Millisecond
	// dispatchTimeout is how long a relay may take to accept a batch.
	dispatchTimeout = 600 * time.Millisecond
	// transitMargin is how much longer than the request to the runner an order may take on its way through the relay.
	// The relay tells a runner that does not answer from an answer that is on its way, so an order is not repeated because
	// a daemon is slow.
	transitMargin = 600 * time.Millisecond
	// collectMargin is how much longer than maxCollectWait the reply to Collect may take.
	collectMargin = 600 * time.Millisecond
)

type (
	// link is the leader's side of one relay. It is safe for concurrent use.
	link struct {
		client *Client
		target peer.Target
		// queued and expecting wake the loops: an order was queued, and an answer is expected.
		queued    chan struct{}
		expecting chan struct{}

		mu     sync.Mutex
		lastID OrderID
		// running is set once the loops of the link run.
		running bool
		queue   []Order
		// waiting holds the orders without an answer.
		waiting map[OrderID]chan<- result
		// clock is the relay's clock as far as the link knows it.
		clock relayClock
		// latency is the moving average of how long the relay takes to accept a batch; zero when it is not known.
		latency time.Duration
		// answeredAt is when the relay last answered a call.
		answeredAt time.Time
		// failedOn is when the relay last failed; it gets no orders until backoffUntil.
		failedOn     time.Time
		backoffUntil time.Time
	}

	// result is what the sender of an order waits for.
	result struct {
		answer Answer
		err    error
	}
)

func newLink(c *Client, target peer.Target) *link {
	return &link{
		client: c, target: target, queued: make(chan struct{}, 1), expecting: make(chan struct{}, 1),
		waiting: make(map[OrderID]chan<- result),
	}
}

// send queues an order and waits for its answer. The request to the runner ends with the deadline of ctx, and send returns
// at most transitMargin later. The error is the one of the runner, or of kind Unavailable when the order was not sent, or
// of kind Lost when no answer arrived. An order that is still queued when send returns is not sent any more.
func (l *link) send(ctx context.Context, o Order) (Answer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return Answer{}, errs.New(errs.Internal, "an order through a relay needs a context with a deadline")
	}
	o.deadline = deadline
	timeout := deadline.Sub(l.client.config.Clock.Now())
	done := make(chan result, 1)
	id := l.enqueue(o, done)
	l.client.counters.relayed.Inc(1)
	select {
	case r := <-done:
		return r.answer, r.err
	case <-l.client.ctx.Done():
	case <-l.client.config.Clock.After(timeout + transitMargin):
	}
	l.forget(id)
	return Answer{}, errs.New(errs.Lost, "no answer through relay %s within %s", l.target.VM, timeout+transitMargin)
}

func (l *link) enqueue(o Order, done chan<- result) OrderID {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	o.ID = l.lastID
	l.queue = append(l.queue, o)
	l.waiting[o.ID] = done
	if !l.running {
		l.running = true
		go l.dispatchLoop()
		go l.collectLoop()
	}
	every.Wake(l.queued)
	every.Wake(l.expecting)
	return o.ID
}

// forget drops an order that its sender has given up.
func (l *link) forget(id OrderID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	l.dropGivenUp()
}

// dropGivenUp removes the orders from the queue that no sender waits for. The caller must hold l.mu.
func (l *link) dropGivenUp() {
	l.queue = slices.DeleteFunc(l.queue, func(o Order) bool { return l.waiting[o.ID] == nil })
}

// dispatchLoop sends the queued orders in batches until the client's context ends.
func (l *link) dispatchLoop() {
	ctx := l.client.ctx
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.queued:
		}
		l.client.sleep(dispatchDelay)
		if !l.synchronize() {
			continue
		}
		if batch := l.takeBatch(); len(batch.Orders) > 0 {
			go l.dispatch(batch)
		}
	}
}

// synchronize reads the relay's clock unless it is known, and reports whether it is. The orders wait in the queue meanwhile,
// and fail with the relay. When no relay answers, they go on waiting.
func (l *link) synchronize() bool {
	l.mu.Lock()
	known := l.clock.isKnown(l.client.config.Clock.Now())
	l.mu.Unlock()
	if known {
		return true
	}
	err := l.call(&DispatchArgs{Session: l.client.config.Session})
	if err == nil || l.client.ctx.Err() != nil {
		return err == nil
	}
	l.mu.Lock()
	ids := orderIDs(l.queue)
	l.mu.Unlock()
	if !l.handleFailure(ids, err) && len(ids) > 0 {
		every.Wake(l.queued)
	}
	return false
}

// takeBatch empties the queue into a batch that holds each payload once. The time that an order was queued counts against its
// timeout: the relay must not carry it out once its sender has given up.
func (l *link) takeBatch() *DispatchArgs {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.client.config.Clock.Now()
	batch := &DispatchArgs{
		Session: l.client.config.Session, SentAt: now.Sub(l.client.beganAt), Reading: l.clock.reading, ReadingAge: l.clock.age(now), Orders: l.queue,
	}
	l.queue = nil
	for i := range batch.Orders {
		o := &batch.Orders[i]
		o.Timeout = o.deadline.Sub(now)
		if o.Start != nil {
			o.Payload = batch.addPayload(o.Start.Payload)
			withoutPayload := *o.Start
			withoutPayload.Payload = ""
			o.Start = &withoutPayload
		}
	}
	return batch
}

// addPayload returns the index of a payload, which it adds unless the latest one is the same: the starts of one step
// follow each other.
func (a *DispatchArgs) addPayload(payload specs.Payload) int {
	if last := len(a.Payloads) - 1; last >= 0 && a.Payloads[last] == payload {
		return last
	}
	a.Payloads = append(a.Payloads, payload)
	return len(a.Payloads) - 1
}

// dispatch sends a batch.
func (l *link) dispatch(batch *DispatchArgs) {
	if err := l.call(batch); err != nil && l.client.ctx.Err() == nil {
		l.handleFailure(orderIDs(batch.Orders), err)
	}
}

// call sends a batch, and notes the reading of the relay's clock and how long the relay took to accept the batch.
func (l *link) call(batch *DispatchArgs) error {
	ctx, cancel := context.WithTimeout(l.client.ctx, dispatchTimeout)
	defer cancel()
	began := l.client.config.Clock.Now()
	reply := &DispatchReply{}
	if err := l.client.config.Peers.Call(ctx, l.target, methodDispatch, batch, reply); err != nil {
		return err
	}
	l.noteAnswer()
	l.noteReading(reply.Reading)
	l.observeLatency(l.client.config.Clock.Since(began))
	return nil
}

// handleFailure handles orders that the relay did not accept, and reports whether the relay is taken to have failed. It is not
// when no other relay answers either: then the batch is likely to be on its way, and its orders end with their own timeouts.
func (l *link) handleFailure(ids []OrderID, err error) bool {
	if errs.Is(err, errs.Lost) && l.client.isStalled(l) {
		l.client.config.Log.Warn().Err(err).Str("Relay", string(l.target.VM)).Int("Orders", len(ids)).
			Msg("no relay answers; waiting for the answers, since the cause is likely to be here")
		return false
	}
	kind := errs.Lost
	if errs.Is(err, errs.Unavailable) {
		kind = errs.Unavailable
	}
	l.fail(ids, errs.New(kind, "relay %s did not accept the order: %v", l.target.VM, err))
	l.markFailed(failureBackoff, err)
	return true
}

func orderIDs(orders []Order) []OrderID {
	out := make([]OrderID, 0, len(orders))
	for i := range orders {
		out = append(out, orders[i].ID)
	}
	return out
}

// collectLoop collects the answers while some are expected, until the client's context ends.
func (l *link) collectLoop() {
	ctx := l.client.ctx
	for ctx.Err() == nil {
		if !l.expectsAnswers() {
			select {
			case <-ctx.Done():
			case <-l.expecting:
			}
			continue
		}
		if err := l.collect(ctx); err != nil && ctx.Err() == nil {
			if !errs.Is(err, errs.Lost) || !l.client.isStalled(l) {
				l.markFailed(failureBackoff, err)
			}
			l.client.sleep(dispatchDelay)
		}
	}
}

func (l *link) expectsAnswers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0
}

func (l *link) collect(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, maxCollectWait+collectMargin)
	defer cancel()
	reply := &CollectReply{}
	args := &CollectArgs{Session: l.client.config.Session, Wait: maxCollectWait}
	if err := l.client.config.Peers.Call(limited, l.target, methodCollect, args, reply); err != nil {
		return err
	}
	l.noteAnswer()
	for _, a := range reply.Answers {
		l.deliver(a.ID, result{answer: a, err: a.remoteError()})
	}
	return nil
}

func (l *link) deliver(id OrderID, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deliverLocked(id, r)
}

// deliverLocked is deliver for a caller that holds l.mu.
func (l *link) deliverLocked(id OrderID, r result) {
	if done, ok := l.waiting[id]; ok {
		delete(l.waiting, id)
		done <- r
	}
}

// fail tells the senders of orders that these have failed. No batch may be taken before the orders have left the queue: a sender that has been
// told sends its order elsewhere.
func (l *link) fail(ids []OrderID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		l.deliverLocked(id, result{err: err})
	}
	l.dropGivenUp()
}

func (c *Client) sleep(d time.Duration) {
	every.Sleep(c.ctx, c.config.Clock, d)
}
