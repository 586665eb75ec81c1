package trial

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// sentRequest is a request with the answers that its caller got.
type sentRequest struct {
	mu      sync.Mutex
	request *types.Request
	answers []*types.Answer
}

// requestLog holds every request of a test.
type requestLog struct {
	mu   sync.Mutex
	sent []*sentRequest
}

func (l *requestLog) add(req *types.Request) *sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &sentRequest{request: req}
	l.sent = append(l.sent, s)
	return s
}

// sendTo sends the request to an entry, records the answer and returns it.
func (s *sentRequest) sendTo(d *Daemon) *types.Answer {
	a := d.Entry.Do(context.Background(), s.request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, a)
	return a
}

// received returns the answers recorded so far.
func (s *sentRequest) received() []*types.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*types.Answer(nil), s.answers...)
}

// wantGuarantees checks what must hold after every failure: each answer is complete and belongs to its request, no
// non-idempotent id ran twice, what is NotRun did not run, what is Done ran, and no runner had more calls than slots.
func wantGuarantees(t *testing.T, c *Cell, l *requestLog) {
	t.Helper()
	ran := make(map[types.RequestID]int)
	for _, x := range c.Runners.Record() {
		ran[x.ID]++
	}
	for _, s := range l.sent {
		id := s.request.ID
		if !s.request.Idempotent && ran[id] > 1 {
			t.Errorf("non-idempotent %s ran %d times, want at most once", id, ran[id])
		}
		for _, a := range s.received() {
			wantConsistentAnswer(t, s.request, a, ran[id])
		}
	}
	wantWithinSlots(t, c)
}

// wantConsistentAnswer checks one answer against the request and the number of its runs.
func wantConsistentAnswer(t *testing.T, req *types.Request, a *types.Answer, ran int) {
	t.Helper()
	switch {
	case a.ID != req.ID:
		t.Errorf("%s got the answer of %s", req.ID, a.ID)
	case a.Outcome == types.OutcomeNotRun && ran > 0:
		t.Errorf("%s was answered NotRun (%v) but ran %d times", req.ID, a.Reason, ran)
	case a.Outcome == types.OutcomeDone && ran == 0:
		t.Errorf("%s was answered Done but did not run", req.ID)
	case a.Outcome == types.OutcomeDone && (string(a.Body) != string(req.Body) || a.Check() != nil):
		t.Errorf("%s got %d bytes that are not its answer", req.ID, len(a.Body))
	case a.Outcome != types.OutcomeDone && a.Reason == nil:
		t.Errorf("%s is %s without a reason", req.ID, a.Outcome)
	}
}

// wantWithinSlots checks that no runner had more calls at a time than it has slots, and that entries do not hold more
// slots or connections of a runner than it has.
func wantWithinSlots(t *testing.T, c *Cell) {
	t.Helper()
	slots, connections := make(map[types.RunnerID]int), make(map[types.RunnerID]int)
	for _, d := range c.Daemons {
		for _, s := range d.Holder.Shares() {
			slots[s.Runner] += s.Slots
			connections[s.Runner] += s.Connections
		}
	}
	for _, site := range Sites() {
		for _, up := range c.Upstreams(site.DataCentre) {
			if peak := c.Runners.Peak(up.ID); peak > up.Slots {
				t.Errorf("%s had %d calls at a time, want at most its %d slots", up.ID, peak, up.Slots)
			}
			if slots[up.ID] > up.Slots || connections[up.ID] > up.Connections {
				t.Errorf("entries hold %d slots and %d connections of %s, more than it has", slots[up.ID], connections[up.ID], up.ID)
			}
		}
	}
}

// watchSlots calls wantWithinSlots every 7 ms until the returned function is called.
func watchSlots(t *testing.T, c *Cell) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(7 * time.Millisecond):
				wantWithinSlots(t, c)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// sendSteadily sends requests at a steady rate to the entries in turn until the span ends; one in four is
// non-idempotent. It returns a function that waits for the answers.
func sendSteadily(t *testing.T, l *requestLog, daemons []*Daemon, interval, span time.Duration) (wait func()) {
	t.Helper()
	var w sync.WaitGroup
	w.Go(func() {
		for i := range int(span / interval) {
			time.Sleep(interval)
			d := daemons[i%len(daemons)]
			id, err := d.Entry.Mint()
			if err != nil {
				continue
			}
			s := l.add(&types.Request{
				ID: id, Service: Service, Team: teamID(i), Class: types.Classes()[i%3], Idempotent: i%4 != 0,
				Deadline: time.Now().Add(2 * time.Second), Body: []byte("body of " + string(id)),
			})
			w.Go(func() { s.sendTo(d) })
		}
	})
	return w.Wait
}

func (l *requestLog) countOutcome(outcome types.Outcome) int {
	n := 0
	for _, s := range l.sent {
		for _, a := range s.received() {
			if a.Outcome == outcome {
				n++
			}
		}
	}
	return n
}
