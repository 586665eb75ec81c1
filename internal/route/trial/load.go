package trial

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
)

const (
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
	perMille          = 1000
)

type (
	// Sender accepts requests as an entry does.
	Sender interface {
		// Mint returns the id for a request that is yet to be sent.
		Mint() (types.RequestID, error)
		// Do runs a request and returns its answer.
		Do(ctx context.Context, req *types.Request) *types.Answer
	}

	// Load is an open-loop load: requests arrive at random times, whether or not earlier ones are answered.
	Load struct {
		Clock clockwork.Clock
		Seed  uint64
		// PerSecond is the mean rate over all senders.
		PerSecond float64
		// Requests sent during WarmUp are not counted; those sent during Span, which follows, are.
		WarmUp, Span time.Duration
		// Deadline is how long a caller waits for the answer.
		Deadline time.Duration
		// Work is subtracted from the time to the answer; the rest is the time spent waiting.
		Work time.Duration
		// Urgent, Batch and NonIdempotent are the proportions of requests, in thousandths, that are of class Urgent, of
		// class Batch, and non-idempotent.
		Urgent, Batch, NonIdempotent int
		BodySize                     int
	}

	// Result is the outcome of a load. Except where stated otherwise it covers the requests sent after the warm-up.
	Result struct {
		Sent int
		Done int
		// InSpan counts the answers with outcome Done that arrived within the span.
		InSpan  int
		NotRun  int
		Unknown int
		// Waits holds the times that requests with outcome Done spent waiting, in microseconds, by class.
		Waits map[types.Class]*hdrhistogram.Histogram
		// Answers holds all answers, including those of the warm-up.
		Answers []*types.Answer
		// Wrong counts the answers, including those of the warm-up, that carry another request's id or, with outcome
		// Done, a body that differs from the request's, which stand-in runners return.
		Wrong int
	}

	recorder struct {
		load      Load
		mu        sync.Mutex
		spanStart time.Time
		result    Result
	}
)

// Run sends the load to randomly chosen senders and waits for every answer.
func (l Load) Run(ctx context.Context, senders []Sender) Result {
	rng := rand.New(rand.NewPCG(l.Seed, l.Seed))
	r := newRecorder(l)
	end := l.Clock.Now().Add(l.WarmUp + l.Span)
	next := l.Clock.Now()
	var w sync.WaitGroup
	for i := 0; ; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / l.PerSecond * float64(time.Second)))
		if next.After(end) {
			break
		}
		if wait := next.Sub(l.Clock.Now()); wait > 0 {
			l.Clock.Sleep(wait)
		}
		sender := senders[rng.IntN(len(senders))]
		req := l.newRequest(rng, i)
		w.Go(func() { r.sendRequest(ctx, sender, req) })
	}
	w.Wait()
	return r.result
}

func (l Load) newRequest(rng *rand.Rand, i int) *types.Request {
	class := types.ClassNormal
	switch n := rng.IntN(perMille); {
	case n < l.Urgent:
		class = types.ClassUrgent
	case n >= perMille-l.Batch:
		class = types.ClassBatch
	}
	body := make([]byte, l.BodySize)
	for j := range body {
		body[j] = byte(rng.Uint32())
	}
	return &types.Request{
		Service: Service, Team: teamID(i), Class: class, Idempotent: rng.IntN(perMille) >= l.NonIdempotent, Body: body,
	}
}

func newRecorder(l Load) *recorder {
	r := &recorder{load: l, spanStart: l.Clock.Now().Add(l.WarmUp)}
	r.result.Waits = make(map[types.Class]*hdrhistogram.Histogram)
	for _, c := range types.Classes() {
		r.result.Waits[c] = hdrhistogram.New(1, maxRecordedMicros, significantDigits)
	}
	return r
}

// sendRequest sends one request and records the answer. When no id can be minted, the request gets one with the unknown
// home data centre "none", so that an entry does not run it if it is non-idempotent.
func (r *recorder) sendRequest(ctx context.Context, s Sender, req *types.Request) {
	begin := r.load.Clock.Now()
	id, err := s.Mint()
	if err != nil {
		id = once.Mint("none", once.Mark{})
	}
	req.ID, req.Deadline = id, begin.Add(r.load.Deadline)
	answer := s.Do(ctx, req)
	r.recordAnswer(begin, req, answer)
}

func (r *recorder) recordAnswer(begin time.Time, req *types.Request, a *types.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Answers = append(r.result.Answers, a)
	if a.ID != req.ID || (a.Outcome == types.OutcomeDone && string(a.Body) != string(req.Body)) {
		r.result.Wrong++
	}
	r.countInSpan(a)
	if begin.Before(r.spanStart) {
		return
	}
	r.result.Sent++
	switch a.Outcome {
	case types.OutcomeDone:
		r.result.Done++
		wait := r.load.Clock.Since(begin) - r.load.Work
		// RecordValue fails only above maxRecordedMicros, which no deadline exceeds.
		_ = r.result.Waits[req.Class].RecordValue(max(0, wait.Microseconds()))
	case types.OutcomeNotRun:
		r.result.NotRun++
	default:
		r.result.Unknown++
	}
}

func (r *recorder) countInSpan(a *types.Answer) {
	now := r.load.Clock.Now()
	if a.Outcome == types.OutcomeDone && !now.Before(r.spanStart) && now.Before(r.spanStart.Add(r.load.Span)) {
		r.result.InSpan++
	}
}

// PerSecond returns how many answers with outcome Done arrived per second of the span.
func (r Result) PerSecond(span time.Duration) float64 {
	return float64(r.InSpan) / span.Seconds()
}

// Wait returns a percentile of the times that requests of a class with outcome Done spent waiting.
func (r Result) Wait(class types.Class, percent float64) time.Duration {
	return time.Duration(r.Waits[class].ValueAtQuantile(percent)) * time.Microsecond
}

// AllWaits returns the waits of all classes in one histogram.
func (r Result) AllWaits() *hdrhistogram.Histogram {
	all := hdrhistogram.New(1, maxRecordedMicros, significantDigits)
	for _, h := range r.Waits {
		all.Merge(h)
	}
	return all
}
