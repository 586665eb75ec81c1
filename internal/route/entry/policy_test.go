package entry

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
	"github.com/magnoliawalk/magnoliawalk/internal/route/lend"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
)

func newEntry(doc *envdoc.Document) *Entry {
	clock := clockwork.NewFakeClock()
	return New(Config{
		Clock:    clock,
		Holder:   lend.NewHolder(lend.HolderConfig{Clock: clock, LeaderOf: noLendingLeaders}),
		Once:     once.NewClient(once.ClientConfig{Clock: clock, LeaderOf: noLeader}),
		Log:      zerolog.Nop(),
		Audit:    audit.Discard{},
		Document: func() (*envdoc.Document, types.Revision) { return doc, 1 },
	})
}

func noLendingLeaders() map[types.DataCentre]lend.Leader { return nil }

func noLeader(types.DataCentre) (peer.Target, types.Epoch, bool) { return peer.Target{}, 0, false }

func classDocument() *envdoc.Document {
	doc := envdoc.Default()
	doc.Requests.Queue = 100
	doc.Teams = []envdoc.Team{{Name: "bookings", MaxClass: types.ClassNormal}}
	doc.Services = []envdoc.ServiceEntry{{Name: "desk"}}
	doc.Classes = []envdoc.ClassPolicy{{Class: types.ClassBatch, Queue: 1, Deadline: time.Minute}}
	return &doc
}

func request(class types.Class) *types.Request {
	return &types.Request{ID: "d.1.x", Service: "desk", Team: "bookings", Class: class}
}

func TestClassPolicySetsTheDeadline(t *testing.T) {
	e := newEntry(classDocument())
	cases := []struct {
		class types.Class
		want  time.Duration
		as    types.Class
	}{
		{types.ClassBatch, time.Minute, types.ClassBatch},
		{types.ClassNormal, envdoc.Default().Requests.DefaultDeadline, types.ClassNormal},
		{types.ClassUrgent, envdoc.Default().Requests.DefaultDeadline, types.ClassNormal},
	}
	for _, c := range cases {
		t.Run(string(c.class), func(t *testing.T) {
			admitted, err := e.admit(request(c.class))
			if err != nil {
				t.Fatal(err)
			}
			if got := admitted.deadline.Sub(admitted.arrivedAt); got != c.want || admitted.class != c.as {
				t.Fatalf("got class %s with a deadline after %s, want %s after %s", admitted.class, got, c.as, c.want)
			}
		})
	}
}

func TestClassPolicyBoundsTheQueue(t *testing.T) {
	e := newEntry(classDocument())
	for _, class := range types.Classes() {
		e.waitingByClass[class.Rank()] = 1
	}
	if _, err := e.admit(request(types.ClassBatch)); !errs.Is(err, errs.Overloaded) {
		t.Fatalf("a batch request with a full queue of its class: got %v, want kind Overloaded", err)
	}
	if _, err := e.admit(request(types.ClassNormal)); err != nil {
		t.Fatalf("a normal request with free places in its queue: got %v, want no error", err)
	}
}
