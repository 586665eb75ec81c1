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

// fakeLeader is a leader that returns the status and the error that a test sets, and counts its calls.
type fakeLeader struct {
	status types.JobStatus
	err    error
	calls  int
}

// Submit returns the status and the error that are set.
func (f *fakeLeader) Submit(context.Context, types.Job) (types.JobStatus, error) { return f.answer() }

// Cancel returns the status and the error that are set.
func (f *fakeLeader) Cancel(context.Context, types.JobID) (types.JobStatus, error) { return f.answer() }

// Status returns the status and the error that are set.
func (f *fakeLeader) Status(context.Context, types.JobID) (types.JobStatus, error) { return f.answer() }

// AcceptTransfer accepts every transfer, or returns the error that is set.
func (f *fakeLeader) AcceptTransfer(_ context.Context, t lead.Transfer) (lead.Taken, error) {
	f.calls++
	return lead.Taken{Job: t.Job.ID}, f.err
}

// Summary returns an empty summary of sousse, or the error that is set.
func (f *fakeLeader) Summary(context.Context) (table.Peer, error) {
	f.calls++
	return table.Peer{DataCentre: "sousse"}, f.err
}

func (f *fakeLeader) answer() (types.JobStatus, error) {
	f.calls++
	return f.status, f.err
}

// pairFixture holds two data centres with one daemon each. carthage is the Jobs of the daemon there.
type pairFixture struct {
	net      *peer.Network
	carthage *Jobs
	leaders  map[types.DataCentre]*fakeLeader
	targets  map[types.DataCentre]peer.Target
	nodes    map[types.DataCentre]*peer.Node
}

func newPairFixture(t *testing.T) *pairFixture {
	t.Helper()
	p := &pairFixture{
		net:     peer.NewNetwork(),
		leaders: make(map[types.DataCentre]*fakeLeader),
		targets: make(map[types.DataCentre]peer.Target),
		nodes:   make(map[types.DataCentre]*peer.Node),
	}
	for _, site := range []types.DataCentre{"carthage", "sousse"} {
		target := peer.Target{
			VM: types.VMID(site), Address: types.Address(site), Site: types.Site{Region: "r", DataCentre: site},
		}
		p.targets[site] = target
		p.leaders[site] = &fakeLeader{status: types.JobStatus{State: types.JobQueued, Home: string(site)}}
		node := p.net.Join(target, meter.Discard())
		p.nodes[site] = node
		j := New(Config{
			Self: target, Clock: clockwork.NewRealClock(), Peers: node, Local: p.leaders[site], Find: p.findLeader,
		})
		if err := j.Register(node); err != nil {
			t.Fatal(err)
		}
		if site == "carthage" {
			p.carthage = j
		}
	}
	return p
}

func (p *pairFixture) findLeader(site types.DataCentre) (peer.Target, types.Epoch, bool) {
	target, ok := p.targets[site]
	return target, 1, ok
}

func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func wantCalls(t *testing.T, p *pairFixture, wantCarthage, wantSousse int) {
	t.Helper()
	if p.leaders["carthage"].calls != wantCarthage || p.leaders["sousse"].calls != wantSousse {
		t.Fatalf("the leaders got %d and %d calls, want %d and %d", p.leaders["carthage"].calls, p.leaders["sousse"].calls, wantCarthage, wantSousse)
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
			p := newPairFixture(t)
			if _, err := p.carthage.Submit(shortContext(t), types.Job{ID: id}); err != nil {
				t.Fatal(err)
			}
			wantCalls(t, p, want[0], want[1])
		})
	}
}

func TestMovedJobIsFollowed(t *testing.T) {
	p := newPairFixture(t)
	p.leaders["carthage"].status = types.JobStatus{State: types.JobMoved, Home: "sousse"}
	s, err := p.carthage.Status(shortContext(t), "carthage.1.a")
	if err != nil || s.State != types.JobQueued || s.Home != "sousse" {
		t.Fatalf("got %+v, %v; want a queued job in sousse", s, err)
	}
	wantCalls(t, p, 1, 1)
}

func TestOutcomesAreTruthful(t *testing.T) {
	t.Run("an unreachable home means not run", func(t *testing.T) {
		p := newPairFixture(t)
		p.net.SetPartitioned("carthage", "sousse", true)
		_, err := p.carthage.Submit(shortContext(t), types.Job{ID: "sousse.1.a"})
		wantKind(t, err, errs.Unavailable)
		wantCalls(t, p, 0, 0)
	})
	t.Run("a call whose answer was lost is repeated under the same id", func(t *testing.T) {
		p := newPairFixture(t)
		p.net.LoseAnswers(1)
		if _, err := p.carthage.Submit(shortContext(t), types.Job{ID: "sousse.1.a"}); err != nil {
			t.Fatal(err)
		}
		wantCalls(t, p, 0, 2)
	})
	t.Run("a refusal after a lost answer stays unknown", func(t *testing.T) {
		p := newPairFixture(t)
		p.net.LoseAnswers(1)
		finds := 0
		p.carthage.cfg.Find = func(site types.DataCentre) (peer.Target, types.Epoch, bool) {
			finds++
			p.net.SetPartitioned("carthage", "sousse", finds > 1)
			return p.findLeader(site)
		}
		_, err := p.carthage.Submit(shortContext(t), types.Job{ID: "sousse.1.a"})
		wantKind(t, err, errs.Unknown)
	})
	t.Run("other errors come back at once", func(t *testing.T) {
		p := newPairFixture(t)
		p.leaders["sousse"].err = errs.New(errs.Impossible, "too large")
		_, err := p.carthage.Submit(shortContext(t), types.Job{ID: "sousse.1.a"})
		wantKind(t, err, errs.Impossible)
		wantCalls(t, p, 0, 1)
	})
	t.Run("a malformed id is rejected", func(t *testing.T) {
		_, err := newPairFixture(t).carthage.Status(shortContext(t), "nonsense")
		wantKind(t, err, errs.Invalid)
	})
}

func TestAnyEntryForwardsToItsLeader(t *testing.T) {
	p := newPairFixture(t)
	var taken lead.Taken
	transfer := lead.Transfer{Job: types.Job{ID: "carthage.1.a", Batch: &types.Batch{Count: 1}}, To: "sousse", Hop: 1}
	if err := p.nodes["carthage"].Call(shortContext(t), p.targets["sousse"], lead.MethodTake, &transfer, &taken); err != nil {
		t.Fatal(err)
	}
	var summary table.Peer
	query := lead.SummaryQuery{From: "carthage"}
	if err := p.nodes["carthage"].Call(shortContext(t), p.targets["sousse"], lead.MethodSummary, &query, &summary); err != nil {
		t.Fatal(err)
	}
	if taken.Job != "carthage.1.a" || summary.DataCentre != "sousse" {
		t.Fatalf("got %+v and %+v, want the job carthage.1.a and the summary of sousse", taken, summary)
	}
	wantCalls(t, p, 0, 2)
}
