package feed

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/access"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// handClock is a clock that a test sets.
type handClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *handClock) read() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// scriptedOrigin answers each call with a function of the request.
type scriptedOrigin func(r Request) (Update, error)

func (o scriptedOrigin) Next(_ context.Context, r Request) (Update, error) { return o(r) }

// scriptedPeer answers each poll with a function.
type scriptedPeer func(reply *PollReply) error

func (p scriptedPeer) Call(_ context.Context, _ peer.Target, m peer.Method, _, reply any) error {
	r, ok := reply.(*PollReply)
	if !ok {
		return errs.New(errs.Unavailable, "%s is not answered", m)
	}
	return p(r)
}

// newLoneFeed returns a feed that does not run, with the catalog of a version in force unless it is 0.
func newLoneFeed(version specs.CatalogVersion, clock *handClock, origin Origin, peers peer.Caller) *Feed {
	f := New(Config{
		Origin: origin, Peers: peers, Apply: func(*specs.Catalog) {}, Clock: clockwork.NewRealClock(), Uptime: clock.read,
		Members: func() []elect.Member { return nil }, Log: zerolog.Nop(), Metrics: metrics.NewRegistry(), ApplyTimeout: applyTimeout,
	})
	if version != 0 {
		f.install(&document{catalog: &specs.Catalog{Version: version}}, Position(version))
	}
	return f
}

func checkConfirmation(t *testing.T, f *Feed, want access.Confirmation) {
	t.Helper()
	if _, got := f.Confirmation(); got != want {
		t.Errorf("confirmation %+v, want %+v", got, want)
	}
}

func TestAnswersOfTheStoreThatConfirm(t *testing.T) {
	const took = 300 * time.Millisecond
	catalog := func(version specs.CatalogVersion) *specs.Catalog { return &specs.Catalog{Version: version} }
	none, fresh := access.Confirmation{}, access.Confirmation{Known: true, Age: took}
	cases := []struct {
		// name is the failure that the case guards against, or the answer that confirms.
		name    string
		inForce specs.CatalogVersion
		update  Update
		err     error
		want    access.Confirmation
	}{
		{"EmptyAnswerCountsAsIfItHadWaited", 5, Update{Position: 5}, nil, fresh},
		{"FirstCatalogConfirms", 0, Update{Catalog: catalog(5), Position: 5}, nil, fresh},
		{"NewerCatalogConfirms", 5, Update{Catalog: catalog(6), Position: 6}, nil, fresh},
		{"SameCatalogConfirms", 5, Update{Catalog: catalog(5), Position: 5}, nil, fresh},
		{"OlderCatalogConfirmsTheNewerOne", 5, Update{Catalog: catalog(4), Position: 9}, nil, none},
		{"LaggingEmptyAnswerConfirms", 5, Update{Position: 5, Lagging: true}, nil, none},
		{"LaggingCatalogConfirms", 5, Update{Catalog: catalog(5), Position: 3, Lagging: true}, nil, none},
		{"StoreWithoutACatalogConfirms", 0, Update{Position: 3}, nil, none},
		{"FailedReadConfirms", 5, Update{}, errs.New(errs.Lost, "no answer"), none},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := &handClock{now: time.Hour}
			f := newLoneFeed(c.inForce, clock, scriptedOrigin(func(Request) (Update, error) {
				clock.advance(took)
				return c.update, c.err
			}), nil)
			f.followStore(t.Context())
			checkConfirmation(t, f, c.want)
		})
	}
}

func TestAnswersOfPeersThatConfirm(t *testing.T) {
	const took = 300 * time.Millisecond
	none := access.Confirmation{}
	known := func(age time.Duration) access.Confirmation { return access.Confirmation{Known: true, Age: age} }
	cases := []struct {
		name  string
		reply PollReply
		want  access.Confirmation
	}{
		{"AgeIsLost", PollReply{Version: 5, Confirmed: true, ConfirmedAge: 2 * time.Second}, known(2*time.Second + took)},
		{"TimeThatThePeerWaitedCountsTwice", PollReply{Version: 5, Confirmed: true, ConfirmedAge: time.Second, Waited: 200 * time.Millisecond}, known(1100 * time.Millisecond)},
		{"PeerThatWasSuspendedIsTakenAsFresh", PollReply{Version: 5, Confirmed: true, ConfirmedAge: time.Hour / 2}, known(time.Hour/2 + took)},
		{"PeerWithoutAConfirmationConfirms", PollReply{Version: 5}, none},
		{"PeerThatFellBackConfirms", PollReply{Version: 4, Confirmed: true}, none},
		{"PeerThatWaitedLongerThanTheCallTookMakesTheFuture", PollReply{Version: 5, Confirmed: true, Waited: time.Hour}, known(0)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := &handClock{now: time.Hour}
			f := newLoneFeed(5, clock, nil, scriptedPeer(func(reply *PollReply) error {
				clock.advance(took)
				*reply = c.reply
				reply.KeepsOrganisations = true
				return nil
			}))
			f.followPeer(t.Context(), peer.Target{VM: "p"})
			checkConfirmation(t, f, c.want)
		})
	}
}

// A daemon of a former version would hand on a catalog without its keys, and a daemon that follows it would get no
// confirmations.
func TestPeerOfAFormerVersionIsNotFollowed(t *testing.T) {
	for _, version := range []specs.CatalogVersion{5, 6} {
		f := newLoneFeed(5, &handClock{}, nil, scriptedPeer(func(reply *PollReply) error {
			*reply = PollReply{Version: version, Bytes: 10}
			return nil
		}))
		target := peer.Target{VM: "p"}
		if err := f.FetchNewer(t.Context(), target); !errs.Is(err, errs.Invalid) {
			t.Errorf("catalog %d: error %v, want kind Invalid", version, err)
		}
		f.followPeer(t.Context(), target)
		if until := f.unusableUntil["p"]; time.Until(until) < staleBackoff {
			t.Errorf("catalog %d: the daemon is followed again at %s, want a backoff", version, until)
		}
	}
}

// A confirmation that comes from an old answer, or that was read before a newer one, must not make the daemon forget the newer.
func TestConfirmationOnlyGrowsYounger(t *testing.T) {
	clock := &handClock{now: time.Hour}
	f := newLoneFeed(5, clock, nil, nil)
	f.AdoptConfirmation(5, access.Confirmation{Known: true, Age: time.Second}, clock.read())
	f.AdoptConfirmation(5, access.Confirmation{Known: true, Age: time.Minute}, clock.read())
	checkConfirmation(t, f, access.Confirmation{Known: true, Age: time.Second})
}

// pair is two daemons, of which the second follows the first.
type pair struct {
	first, second           *Feed
	firstClock, secondClock *handClock
	target                  peer.Target
}

func newPair(t *testing.T) *pair {
	t.Helper()
	network := peer.NewNetwork()
	t.Cleanup(network.Close)
	p := &pair{firstClock: &handClock{now: time.Hour}, secondClock: &handClock{now: time.Minute}}
	p.target = peer.Target{VM: "first", Address: "first"}
	node := network.Join(p.target, meter.Discard())
	p.first = newLoneFeed(5, p.firstClock, nil, node)
	if err := p.first.Register(node); err != nil {
		t.Fatal(err)
	}
	p.second = newLoneFeed(0, p.secondClock, nil, network.Join(peer.Target{VM: "second", Address: "second"}, meter.Discard()))
	return p
}

func TestConfirmationFromAPeer(t *testing.T) {
	t.Run("RestartedDaemonTakesOldKnowledgeForFresh", func(t *testing.T) {
		p := newPair(t)
		p.first.confirmVersion(5, p.firstClock.read())
		p.firstClock.advance(10 * time.Second)
		p.second.followPeer(t.Context(), p.target)
		if p.second.Version() != 5 {
			t.Fatalf("catalog %d in force, want 5", p.second.Version())
		}
		// The time that the peer has waited is measured by the real clock.
		if _, got := p.second.Confirmation(); !got.Known || got.Age < 9*time.Second {
			t.Errorf("confirmation %+v, want one of 10 s ago", got)
		}
	})
	t.Run("RestartedDaemonTakesUnconfirmedKnowledgeForFresh", func(t *testing.T) {
		p := newPair(t)
		p.second.followPeer(t.Context(), p.target)
		if p.second.Version() != 5 {
			t.Fatalf("catalog %d in force, want 5", p.second.Version())
		}
		checkConfirmation(t, p.second, access.Confirmation{})
	})
	t.Run("PeerIsSuspendedWhileItWaits", func(t *testing.T) {
		p := newPair(t)
		p.first.confirmVersion(5, p.firstClock.read())
		p.second.followPeer(t.Context(), p.target)
		// With young knowledge the poll waits for a newer catalog.
		p.first.confirm(0, time.Now())
		p.second.confirm(0, time.Now())
		time.AfterFunc(20*time.Millisecond, func() {
			p.firstClock.advance(10 * time.Second)
			p.secondClock.advance(10 * time.Second)
		})
		p.second.followPeer(t.Context(), p.target)
		_, got := p.second.Confirmation()
		if !got.Known || got.Age < 9*time.Second {
			t.Errorf("confirmation %+v, want one of about 10 s ago", got)
		}
	})
}

// A source may stand still between two readings of its clocks. The time must not count as time that it waited, which would make
// its knowledge seem younger than it is.
func TestPauseOfTheSourceDoesNotMakeItsKnowledgeYounger(t *testing.T) {
	const pause = 50 * time.Millisecond
	p := newPair(t)
	began := time.Now()
	p.first.config.Uptime = func() time.Duration {
		now := time.Since(began)
		time.Sleep(pause)
		return now
	}
	p.second.config.Uptime = func() time.Duration { return time.Since(began) }
	shown := p.second.config.Uptime()
	p.first.confirmVersion(5, shown)
	p.second.followPeer(t.Context(), p.target)
	if got := p.second.confirmation; !got.known || got.at > shown {
		t.Errorf("confirmation %+v, want one at %s at the latest", got, shown)
	}
}

// A fleet whose store stops answering must let its knowledge grow old at every daemon: daemons that hand it on to each other
// in a circle must not keep it young.
func TestKnowledgeAgesEverywhereWhileTheStoreIsDown(t *testing.T) {
	f := newFixture(t, 3, applyTimeout)
	f.store.write(1, 1)
	f.waitForVersion(1)
	for vm := range f.feeds {
		f.store.setCutOff(vm, true)
	}
	began := time.Now()
	time.Sleep(applyTimeout)
	for vm, feed := range f.feeds {
		if _, got := feed.Confirmation(); got.Known && got.Age < time.Since(began)-applyTimeout/ageDivisor/waitDivisor {
			t.Errorf("%s has a confirmation of %s ago, but the store has not answered for %s", vm, got.Age, time.Since(began))
		}
	}
}

// A daemon that every source has left behind is served by any other daemon with young knowledge; confirmations must keep
// passing while all works, or daemons with keys would refuse calls for no reason.
func TestConfirmationsStayYoung(t *testing.T) {
	f := newFixture(t, 4, applyTimeout)
	f.store.write(1, 1)
	f.waitForVersion(1)
	time.Sleep(applyTimeout / 2)
	oldest, at := time.Duration(0), types.VMID("")
	for until := time.Now().Add(applyTimeout / 2); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for vm, feed := range f.feeds {
			_, got := feed.Confirmation()
			if !got.Known {
				t.Fatalf("%s has no confirmation", vm)
			}
			if got.Age > oldest {
				oldest, at = got.Age, vm
			}
		}
	}
	// Two daemons at most lie between a daemon and the store, and each step adds one wait and at most one more for the store's.
	if limit := applyTimeout / ageDivisor; oldest > limit {
		t.Errorf("%s had a confirmation of %s ago, want %s at most", at, oldest, limit)
	}
}
