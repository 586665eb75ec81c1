package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/lead"
	"github.com/magnoliawalk/magnoliawalk/internal/sched/table"
)

// fake is a lead that answers what it is told to.
type fake struct {
	status types.JobStatus
	err    error
	calls  int
}

// Submit answers as told.
func (f *fake) Submit(context.Context, types.Job) (types.JobStatus, error) { return f.answer() }

// Cancel answers as told.
func (f *fake) Cancel(context.Context, types.JobID) (types.JobStatus, error) { return f.answer() }

// Status answers as told.
func (f *fake) Status(context.Context, types.JobID) (types.JobStatus, error) { return f.answer() }

// AcceptTransfer takes every transfer in.
func (f *fake) AcceptTransfer(_ context.Context, t lead.Transfer) (lead.Taken, error) {
	f.calls++
	return lead.Taken{Job: t.Job.ID}, f.err
}

// Summary returns an empty summary.
func (f *fake) Summary(context.Context) (table.Peer, error) {
	f.calls++
	return table.Peer{DataCentre: "sousse"}, f.err
}

func (f *fake) answer() (types.JobStatus, error) {
	f.calls++
	return f.status, f.err
}

// pair is two data centres with one daemon each.
type pair struct {
	net   *peer.Network
	near  *Jobs
	leads map[types.DataCentre]*fake
	known map[types.DataCentre]peer.Target
	nodes map[types.DataCentre]*peer.Node
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{
		net:   peer.NewNetwork(),
		leads: make(map[types.DataCentre]*fake),
		known: make(map[types.DataCentre]peer.Target),
		nodes: make(map[types.DataCentre]*peer.Node),
	}
	for _, site := range []types.DataCentre{"carthage", "sousse"} {
		target := peer.Target{
			VM: types.VMID(site), Address: types.Address(site), Site: types.Site{Region: "r", DataCentre: site},
		}
		p.known[site] = target
		p.leads[site] = &fake{status: types.JobStatus{State: types.JobQueued, Home: string(site)}}
		node := p.net.Join(target, meter.Discard())
		p.nodes[site] = node
		j := New(Config{
			Self: target, Clock: clockwork.NewRealClock(), Peers: node, Local: p.leads[site], Find: p.find,
		})
		if err := j.Register(node); err != nil {
			t.Fatal(err)
		}
		if site == "carthage" {
			p.near = j
		}
	}
	return p
}

func (p *pair) find(site types.DataCentre) (peer.Target, types.Epoch, bool) {
	target, ok := p.known[site]
	return target, 1, ok
}

func brief(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func wantCalls(t *testing.T, p *pair, near, far int) {
	t.Helper()
	if p.leads["carthage"].calls != near || p.leads["sousse"].calls != far {
		t.Fatalf("the leads got %d and %d calls, want %d and %d", p.leads["carthage"].calls, p.leads["sousse"].calls, near, far)
	}
}

func wantKind(t *testing.T, err error, kind errs.Kind) {
	t.Helper()
	if !errs.Is(err, kind) {
		t.Fatalf("got %v, want kind %s", err, kind)
	}
}

func TestJobGoesToItsHome(t *testing.T) {
	for id, want := range map[types.JobID][2]int{"carthage.1.a": {1, 0}, "sousse.1.a": {0, 1}} {
		t.Run(string(id), func(t *testing.T) {
			p := newPair(t)
			if _, err := p.near.Submit(brief(t), types.Job{ID: id}); err != nil {
				t.Fatal(err)
			}
			wantCalls(t, p, want[0], want[1])
		})
	}
}

func TestMovedJobIsFollowed(t *testing.T) {
	p := newPair(t)
	p.leads["carthage"].status = types.JobStatus{State: types.JobMoved, Home: "sousse"}
	s, err := p.near.Status(brief(t), "carthage.1.a")
	if err != nil || s.State != types.JobQueued || s.Home != "sousse" {
		t.Fatalf("got %+v, %v", s, err)
	}
	wantCalls(t, p, 1, 1)
}

func TestOutcomesAreTruthful(t *testing.T) {
	t.Run("an unreachable home means not run", func(t *testing.T) {
		p := newPair(t)
		p.net.SetPartitioned("carthage", "sousse", true)
		_, err := p.near.Submit(brief(t), types.Job{ID: "sousse.1.a"})
		wantKind(t, err, errs.Unavailable)
		wantCalls(t, p, 0, 0)
	})
	t.Run("a lost answer is repeated under the same id", func(t *testing.T) {
		p := newPair(t)
		p.net.LoseAnswers(1)
		if _, err := p.near.Submit(brief(t), types.Job{ID: "sousse.1.a"}); err != nil {
			t.Fatal(err)
		}
		wantCalls(t, p, 0, 2)
	})
	t.Run("a refusal after a lost answer stays unknown", func(t *testing.T) {
		p := newPair(t)
		p.net.LoseAnswers(1)
		finds := 0
		p.near.cfg.Find = func(site types.DataCentre) (peer.Target, types.Epoch, bool) {
			finds++
			p.net.SetPartitioned("carthage", "sousse", finds > 1)
			return p.find(site)
		}
		_, err := p.near.Submit(brief(t), types.Job{ID: "sousse.1.a"})
		wantKind(t, err, errs.Unknown)
	})
	t.Run("other errors come back at once", func(t *testing.T) {
		p := newPair(t)
		p.leads["sousse"].err = errs.New(errs.Impossible, "too large")
		_, err := p.near.Submit(brief(t), types.Job{ID: "sousse.1.a"})
		wantKind(t, err, errs.Impossible)
		wantCalls(t, p, 0, 1)
	})
	t.Run("a malformed id is refused", func(t *testing.T) {
		_, err := newPair(t).near.Status(brief(t), "nonsense")
		wantKind(t, err, errs.Invalid)
	})
}

func TestAnyEntryPassesOnToItsLead(t *testing.T) {
	p := newPair(t)
	var taken lead.Taken
	transfer := lead.Transfer{Job: types.Job{ID: "carthage.1.a", Batch: &types.Batch{Count: 1}}, To: "sousse", Hop: 1}
	if err := p.nodes["carthage"].Call(brief(t), p.known["sousse"], lead.MethodTake, &transfer, &taken); err != nil {
		t.Fatal(err)
	}
	var summary table.Peer
	query := lead.SummaryQuery{From: "carthage"}
	if err := p.nodes["carthage"].Call(brief(t), p.known["sousse"], lead.MethodSummary, &query, &summary); err != nil {
		t.Fatal(err)
	}
	if taken.Job != "carthage.1.a" || summary.DataCentre != "sousse" {
		t.Fatalf("got %+v and %+v", taken, summary)
	}
	wantCalls(t, p, 0, 2)
}
