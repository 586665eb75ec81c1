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
	// waiter is a request in the queue.
	waiter struct {
		task   *task
		result chan outcome
	}

	// outcome is the end of a wait: a slot or an error.
	outcome struct {
		slot lend.Slot
		err  error
	}

	// refusal is a waiting request that is to be refused.
	refusal struct {
		waiter *waiter
		err    error
	}
)

func (r refusal) refuse() {
	r.waiter.result <- outcome{err: r.err}
}

// room returns an error when the request would wait in vain.
func (e *Entry) room(t *task, limit int) error {
	s := e.serviceOf(t.service)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.earnRetry()
	wait := s.estimate(t.class)
	if wait > t.deadline.Sub(t.arrived)/2 {
		e.metrics.shed.Inc(1)
		return overloaded(wait, "about %d requests are ahead", s.queue.Ahead(t.class))
	}
	if e.waiting[t.class.Rank()] < limit || s.queue.Victim(t.class, t.team) != nil {
		return nil
	}
	e.metrics.shed.Inc(1)
	return overloaded(wait, "%d requests of class %s wait", e.waiting[t.class.Rank()], t.class)
}

// earnRetry adds this request's part of a retry to the budget.
func (e *Entry) earnRetry() {
	doc, _ := e.config.Document()
	if doc != nil {
		e.budget.earn(doc.Requests.RetryBudget)
	}
}

func overloaded(wait time.Duration, format string, args ...any) error {
	return errs.After(errs.Overloaded, min(maxRetryAfter, max(minRetryAfter, wait)), format, args...)
}

// estimate returns how long a new request of the class would wait for a slot.
func (s *service) estimate(class types.Class) time.Duration {
	if s.near == 0 {
		return 0
	}
	return time.Duration(s.queue.Ahead(class)) * s.took / time.Duration(s.near)
}

// obtain waits for a slot.
func (e *Entry) obtain(ctx context.Context, t *task) (lend.Slot, error) {
	w := &waiter{task: t, result: make(chan outcome, 1)}
	item := e.enqueue(t, w)
	select {
	case o := <-w.result:
		return o.slot, o.err
	default:
	}
	select {
	case o := <-w.result:
		return o.slot, o.err
	case <-ctx.Done():
		return e.abandon(t, item, w, ctx.Err())
	}
}

func (e *Entry) enqueue(t *task, w *waiter) *queue.Item {
	now := e.config.Clock.Now()
	item := &queue.Item{
		Team: t.team, Class: t.class, Service: t.service, Since: now, Deadline: now.Add(t.deadline.Sub(now) / 2), Value: w,
	}
	s := e.serviceOf(t.service)
	e.mu.Lock()
	if victim := e.victim(s, t); victim != nil {
		defer refusal{waiter: victim, err: overloaded(s.estimate(t.class), "another team's request took the place")}.refuse()
	}
	s.queue.Push(item)
	e.waiting[t.class.Rank()]++
	e.hurry()
	e.give(t.service, s)
	e.mu.Unlock()
	return item
}

// victim removes the request that makes way for another one when the class is full.
func (e *Entry) victim(s *service, t *task) *waiter {
	doc, _ := e.config.Document()
	if doc == nil || e.waiting[t.class.Rank()] < doc.Policy(t.class).Queue {
		return nil
	}
	x := s.queue.Victim(t.class, t.team)
	if x == nil || !e.remove(s, x) {
		return nil
	}
	e.metrics.shed.Inc(1)
	return x.Value.(*waiter)
}

func (e *Entry) remove(s *service, x *queue.Item) bool {
	if !s.queue.Remove(x) {
		return false
	}
	e.waiting[x.Class.Rank()]--
	return true
}

// abandon takes a request out of the queue whose caller is gone.
func (e *Entry) abandon(t *task, item *queue.Item, w *waiter, cause error) (lend.Slot, error) {
	s := e.serviceOf(t.service)
	e.mu.Lock()
	e.remove(s, item)
	e.mu.Unlock()
	select {
	case o := <-w.result:
		return o.slot, o.err
	default:
		return lend.Slot{}, errs.New(errs.Deadline, "the caller went away: %v", cause)
	}
}

// pump gives free slots of a service to waiting requests.
func (e *Entry) pump(name types.ServiceName) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.services[name]; ok {
		e.give(name, s)
	}
}

func (e *Entry) give(name types.ServiceName, s *service) {
	for head := s.queue.Head(); head != nil; head = s.queue.Head() {
		slot, ok := e.acquireNear(name, head)
		if !ok {
			break
		}
		s.queue.Pop()
		e.hand(head, slot)
	}
	e.giveFar(name, s)
	e.config.Holder.Queued(name, s.queue.Len())
}

func (e *Entry) hand(x *queue.Item, slot lend.Slot) {
	e.waiting[x.Class.Rank()]--
	x.Value.(*waiter).result <- outcome{slot: slot}
}

// acquireNear takes a slot of the region, at another runner than the one that failed the request if possible.
func (e *Entry) acquireNear(name types.ServiceName, x *queue.Item) (lend.Slot, bool) {
	t := x.Value.(*waiter).task
	slot, ok := e.config.Holder.Acquire(name, lend.Regional, t.avoid)
	if ok || t.avoid == "" || e.config.Clock.Since(x.Since) < FarAfter {
		return slot, ok
	}
	return e.config.Holder.Acquire(name, lend.Regional, "")
}

// giveFar takes slots of other regions for the requests that waited longest.
func (e *Entry) giveFar(name types.ServiceName, s *service) {
	now := e.config.Clock.Now()
	for x := s.queue.Oldest(); x != nil; x = s.queue.Oldest() {
		if now.Sub(x.Since) < FarAfter && s.near > 0 {
			return
		}
		cost := len(x.Value.(*waiter).task.body) + linkOverhead
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
		e.hand(x, slot)
	}
}

// overdue removes the requests of a service that waited too long.
func (e *Entry) overdue(name types.ServiceName, s *service, now time.Time) []refusal {
	none := s.near == 0 && e.config.Holder.Held(name, lend.Far) == 0
	var out []refusal
	s.queue.Each(func(x *queue.Item) {
		switch {
		case none && now.Sub(x.Since) >= NoRunnerAfter:
			out = append(out, refusal{waiter: x.Value.(*waiter), err: errs.After(errs.Unavailable, time.Second, "no runner of %s can be reached", name)})
		case !now.Before(x.Deadline):
			out = append(out, refusal{waiter: x.Value.(*waiter), err: overloaded(now.Sub(x.Since), "no slot of %s was free for %s", name, now.Sub(x.Since))})
		default:
			return
		}
		e.late = append(e.late, x)
	})
	for _, x := range e.late {
		e.remove(s, x)
	}
	e.metrics.expired.Inc(int64(len(e.late)))
	e.late = e.late[:0]
	return out
}
