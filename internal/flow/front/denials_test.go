package front

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// Guards against a leader that all entries call although it answers each call that it does not lead: nobody would replace it.
func TestLeaderThatDeniesItLeadsIsSuspected(t *testing.T) {
	notLeading, inDoubt, notFound := errs.New(errs.Fenced, "does not lead"), errs.New(errs.Lost, "no answer"), errs.New(errs.NotFound, "no job")
	cases := map[string]struct {
		answers   []error
		suspected bool
	}{
		"EachCall":          {[]error{notLeading, notLeading, notLeading}, true},
		"BesideLostAnswers": {[]error{notLeading, inDoubt, notLeading}, true},
		"Once":              {[]error{notLeading}, false},
		"UntilItServes":     {[]error{notLeading, nil, notLeading}, false},
		"UntilItDecides":    {[]error{notLeading, notFound, notLeading}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var lines bytes.Buffer
			clock := clockwork.NewFakeClock()
			leader := &fakeLeader{errors: c.answers}
			f := New(Config{Self: peer.Target{VM: "self"}, Clock: clock, Log: zerolog.New(&lines), Metrics: metrics.NewRegistry(), Peers: leader})
			f.elector.AdoptLeader(elect.Leader{Target: peer.Target{VM: "lead"}, Epoch: 1})
			for range c.answers {
				_ = f.tryLeader(t.Context(), methodState, &JobArgs{}, &StateReply{})
				clock.Advance(deniedTimeout)
			}
			if got := strings.Contains(lines.String(), "leader marked as suspected"); got != c.suspected {
				t.Errorf("suspected: %t, want %t: %s", got, c.suspected, lines.String())
			}
		})
	}
}

// Guards against a caller that is told to give up because the known leader does not lead any more.
func TestDenialIsAnsweredLikeAMissingLeader(t *testing.T) {
	denials := make([]error, 100)
	for i := range denials {
		denials[i] = errs.New(errs.Fenced, "does not lead")
	}
	err := submit(newFront(&fakeLeader{errors: denials}), 3*time.Second)
	if !errs.Is(err, errs.Unavailable) || errs.Of(err).RetryAfter == 0 {
		t.Errorf("got %v, want kind Unavailable with a RetryAfter", err)
	}
}

// Guards against a leader that is replaced because of two refusals with a long time and no call in between, as at an entry with few callers:
// the first may come before the leader's term has begun, the second while it drains.
func TestRefusalsFarApartSuspectNobody(t *testing.T) {
	now := time.Now()
	d := newDenials(metrics.NewRegistry())
	refusal := errs.New(errs.Fenced, "does not lead")
	if d.note(1, refusal, now) || d.note(1, refusal, now.Add(time.Minute)) {
		t.Error("two refusals one minute apart count as refusals for one minute on end")
	}
}
