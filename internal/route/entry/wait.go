package entry

import (
	"context"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/route/lend"
	"github.com/magnoliawalk/magnoliawalk/internal/route/queue"
)

type (
	// waiter is a request in the queue. At most one result is sent to it.
	waiter struct {
		request *requestState
		result  chan waitResult
	}

	// waitResult is the result of a wait: a slot or an error.
	waitResult struct {
		slot lend.Slot
		err  error
	}

	// rejection is a waiting request that is to be rejected, with the reason.
	rejection struct {
		waiter *waiter
		err    error
	}
)

func (r rejection) send() {
	r.waiter.result <- waitResult{err: r.err}
}

// checkAdmission credits the retry budget with the request, and returns an Overloaded error when it must not be queued:
// its estimated wait is more than half of the time to its deadline, or its class is full and no waiting request of
// another team can be displaced by it. queueLimit is the number of requests of the class that this entry may queue.
func (e *Entry) checkAdmission(r *requestState, queueLimit int) error {
	s := e.serviceOf(r.service)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.depositRetryShare()
	wait := s.estimateWait(r.class)
	if wait > r.deadline.Sub(r.arrivedAt)/2 {
		e.metrics.shed.Inc(1)
		return overloadedError(wait, "about %d requests are ahead", s.queue.Ahead(r.class))
	}
	if e.waitingByClass[r.class.Rank()] < queueLimit || s.queue.Victim(r.class, r.team) != nil {
		return nil
	}
	e.metrics.shed.Inc(1)
	return overloadedError(wait, "%d requests of class %s wait", e.waitingByClass[r.class.Rank()], r.class)
}

// depositRetryShare credits the retry budget with one request: the document's RetryBudget, in thousandths of a retry.
func (e *Entry) depositRetryShare() {
	doc, _ := e.config.Document()
	if doc != nil {
		e.budget.deposit(doc.Requests.RetryBudget)
	}
}

func overloadedError(wait time.Duration, format string, args ...any) error {
	return errs.After(errs.Overloaded, min(maxRetryAfter, max(minRetryAfter, wait)), format, args...)
}

// estimateWait returns how long a new request of the class would wait for a slot. It returns zero when no slot of this
// region is held, because the wait cannot be estimated then; such a request is not rejected for its wait. The caller
// must hold the entry's mu.
func (s *service) estimateWait(class types.Class) time.Duration {
	if s.regionalSlots == 0 {
		return 0
	}
	return time.Duration(s.queue.Ahead(class)) * s.callTime / time.Duration(s.regionalSlots)
}

// waitForSlot puts the request into the queue and waits until it gets a slot, is rejected, or ctx ends.
func (e *Entry) waitForSlot(ctx context.Context, r *requestState) (lend.Slot, error) {
	w := &waiter{request: r, result: make(chan waitResult, 1)}
	item := e.enqueue(r, w)
	// A result that enqueue has sent is taken even if ctx has ended, as abandonWait does with a later one.
	select {
	case result := <-w.result:
		return result.slot, result.err
	default:
	}
	select {
	case result := <-w.result:
		return result.slot, result.err
	case <-ctx.Done():
		return e.abandonWait(r, item, w, ctx.Err())
	}
}

// enqueue puts the request into the queue, in the place of a displaced one if its class is full, and assigns the free
// slots of the service. The request waits for at most half of the time to its deadline.
func (e *Entry) enqueue(r *requestState, w *waiter) *queue.Item {
	now := e.config.Clock.Now()
	item := &queue.Item{
		Team: r.team, Class: r.class, Service: r.service, Since: now, Deadline: now.Add(r.deadline.Sub(now) / 2), Value: w,
	}
	s := e.serviceOf(r.service)
	e.mu.Lock()
	if displaced := e.displaceWaiting(s, r); displaced != nil {
		defer rejection{waiter: displaced, err: overloadedError(s.estimateWait(r.class), "another team's request took the place")}.send()
	}
	s.queue.Push(item)
	e.waitingByClass[r.class.Rank()]++
	e.wakeRun()
	e.assignSlots(r.service, s)
	e.mu.Unlock()
	return item
}

// displaceWaiting removes and returns the waiting request that is rejected in favour of r when the class is full, or
// nil. The caller must hold e.mu.
func (e *Entry) displaceWaiting(s *service, r *requestState) *waiter {
	doc, _ := e.config.Document()
	if doc == nil || e.waitingByClass[r.class.Rank()] < doc.Policy(r.class).Queue {
		return nil
	}
	x := s.queue.Victim(r.class, r.team)
	if x == nil || !e.removeWaiting(s, x) {
		return nil
	}
	e.metrics.shed.Inc(1)
	return x.Value.(*waiter)
}

// removeWaiting removes a request from the queue. It returns false when the request does not wait any more. The caller
// must hold e.mu.
func (e *Entry) removeWaiting(s *service, x *queue.Item) bool {
	if !s.queue.Remove(x) {
		return false
	}
	e.waitingByClass[x.Class.Rank()]--
	return true
}

// abandonWait removes a request whose ctx has ended from the queue. If the wait has ended in the meantime, it returns
// the result of the wait.
func (e *Entry) abandonWait(r *requestState, item *queue.Item, w *waiter, cause error) (lend.Slot, error) {
	s := e.serviceOf(r.service)
	e.mu.Lock()
	e.removeWaiting(s, item)
	e.mu.Unlock()
	select {
	case result := <-w.result:
		return result.slot, result.err
	default:
		return lend.Slot{}, errs.New(errs.Deadline, "the caller went away: %v", cause)
	}
}

// assignFreeSlots assigns free slots of a service to its waiting requests.
func (e *Entry) assignFreeSlots(name types.ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.services[name]; ok {
		e.assignSlots(name, s)
	}
}

// assignSlots is assignFreeSlots without locking. The caller must hold e.mu.
func (e *Entry) assignSlots(name types.ServiceName, s *service) {
	for head := s.queue.Head(); head != nil; head = s.queue.Head() {
		slot, ok := e.acquireRegional(name, head)
		if !ok {
			break
		}
		s.queue.Pop()
		e.assignSlot(head, slot)
	}
	e.assignSlotsAtAnyDistance(name, s)
	e.config.Holder.Queued(name, s.queue.Len())
}

// assignSlot ends the wait of a request that has left the queue. The caller must hold e.mu.
func (e *Entry) assignSlot(x *queue.Item, slot lend.Slot) {
	e.waitingByClass[x.Class.Rank()]--
	x.Value.(*waiter).result <- waitResult{slot: slot}
}

// acquireRegional acquires a slot of this region, at another runner than that of the request's last failed attempt.
// Once the request has waited FarDelay, it accepts that runner too.
func (e *Entry) acquireRegional(name types.ServiceName, x *queue.Item) (lend.Slot, bool) {
	r := x.Value.(*waiter).request
	slot, ok := e.config.Holder.Acquire(name, lend.Regional, r.avoid)
	if ok || r.avoid == "" || e.config.Clock.Since(x.Since) < FarDelay {
		return slot, ok
	}
	return e.config.Holder.Acquire(name, lend.Regional, "")
}

// assignSlotsAtAnyDistance assigns slots to the requests that have waited longest: to those that have waited FarDelay,
// and to all while no slot of this region is held. It assigns none while the link's budget does not cover the request,
// even if a slot of this region is free. Slots of other regions are used only if no nearer one is free, and the runner
// of a request's last failed attempt is not avoided. The caller must hold e.mu.
func (e *Entry) assignSlotsAtAnyDistance(name types.ServiceName, s *service) {
	now := e.config.Clock.Now()
	for x := s.queue.Oldest(); x != nil; x = s.queue.Oldest() {
		if now.Sub(x.Since) < FarDelay && s.regionalSlots > 0 {
			return
		}
		cost := len(x.Value.(*waiter).request.body) + linkOverheadBytes
		if e.link.TokensAt(now) < float64(cost) {
			return
		}
		slot, ok := e.config.Holder.Acquire(name, lend.Far, "")
		if !ok {
			return
		}
		if slot.Distance == lend.Far {
			e.link.AllowN(now, cost)
			e.metrics.far.Inc(1)
		}
		s.queue.Remove(x)
		e.assignSlot(x, slot)
	}
}

// removeOverdue removes the requests of a service that have waited too long and returns their rejections. The caller
// must hold e.mu.
func (e *Entry) removeOverdue(name types.ServiceName, s *service, now time.Time) []rejection {
	// While no slot is held, nothing tells when one will be, so the caller is asked to retry after a fixed second.
	noSlots := s.regionalSlots == 0 && e.config.Holder.Held(name, lend.Far) == 0
	var rejections []rejection
	s.queue.Each(func(x *queue.Item) {
		switch {
		case noSlots && now.Sub(x.Since) >= NoRunnerTimeout:
			rejections = append(rejections, rejection{waiter: x.Value.(*waiter), err: errs.After(errs.Unavailable, time.Second, "no runner of %s can be reached", name)})
		case !now.Before(x.Deadline):
			rejections = append(rejections, rejection{waiter: x.Value.(*waiter), err: overloadedError(now.Sub(x.Since), "no slot of %s was free for %s", name, now.Sub(x.Since))})
		default:
			return
		}
		e.overdueScratch = append(e.overdueScratch, x)
	})
	for _, x := range e.overdueScratch {
		e.removeWaiting(s, x)
	}
	e.metrics.expired.Inc(int64(len(e.overdueScratch)))
	e.overdueScratch = e.overdueScratch[:0]
	return rejections
}
