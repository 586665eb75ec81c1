package audit

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// fixture is a store and a network with logs over them.
type fixture struct {
	clock    clockwork.Clock
	memory   *store.Memory
	network  *peer.Network
	calls    *meter.Meter
	registry metrics.Registry
	targets  []peer.Target
}

func newFixture(clock clockwork.Clock) *fixture {
	return &fixture{
		clock: clock, memory: store.NewMemory(clock, "r"), network: peer.NewNetwork(),
		calls: meter.Discard(), registry: metrics.NewRegistry(),
	}
}

func (b *fixture) newLog(t *testing.T, id types.VMID, dc types.DataCentre) *Log {
	t.Helper()
	self := peer.Target{VM: id, Address: types.Address(id), Site: types.Site{Region: "r", DataCentre: dc}}
	node := b.network.Join(self, meter.Discard())
	b.targets = append(b.targets, self)
	l, err := NewLog(Config{
		Self: self, Clock: b.clock, Store: b.memory.As(dc, b.calls), Peers: node, Registrar: node,
		Entries: func() []peer.Target { return b.targets },
		Leading: func() (types.Epoch, bool) { return 1, true },
		Metrics: b.registry, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (b *fixture) counter(name string) int64 {
	return metrics.GetOrRegisterCounter("Audit."+name, b.registry).Count()
}

func query(t *testing.T, l *Log, subject string) Answer {
	t.Helper()
	answer, err := l.Query(context.Background(), subject)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func assertVerbs(t *testing.T, got Answer, want ...Verb) {
	t.Helper()
	var verbs []Verb
	for _, r := range got.Records {
		verbs = append(verbs, r.Verb)
	}
	if fmt.Sprint(verbs) != fmt.Sprint(want) {
		t.Fatalf("got %v, want %v", verbs, want)
	}
}

func TestRecordOutlivesItsVM(t *testing.T) {
	b := newFixture(clockwork.NewFakeClock())
	defer b.network.Close()
	dead, other := b.newLog(t, "vm-1", "carthage"), b.newLog(t, "vm-2", "sousse")
	dead.Record(Record{Verb: VerbAccept, Subject: "carthage.1.x"})
	dead.Record(Record{Verb: VerbStart, Subject: "carthage.1.x/0#1"})
	dead.Flush(context.Background())
	b.network.SetDown("vm-1", true)
	answer := query(t, other, "carthage.1.x")
	assertVerbs(t, answer, VerbAccept, VerbStart)
	if len(answer.Missing) != 1 || answer.Missing[0] != "vm-1" {
		t.Fatalf("missing %v", answer.Missing)
	}
}

func TestQueryJoinsSourcesOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newFixture(clock)
	defer b.network.Close()
	first, second := b.newLog(t, "vm-1", "carthage"), b.newLog(t, "vm-2", "ariana")
	first.Record(Record{Verb: VerbAccept, Subject: "j"})
	first.Flush(context.Background())
	clock.Advance(time.Second)
	second.Record(Record{Verb: VerbHandOver, Subject: "j"})
	clock.Advance(time.Second)
	first.Record(Record{Verb: VerbCancel, Subject: "j"})
	first.Record(Record{Verb: VerbCancel, Subject: "k"})
	for _, l := range []*Log{first, second} {
		assertVerbs(t, query(t, l, "j"), VerbAccept, VerbHandOver, VerbCancel)
	}
}

func TestConcerns(t *testing.T) {
	r := Record{Subject: "home.1.x/3#2", Inputs: []Input{{Name: "Worker", Value: "w-7"}}}
	for subject, want := range map[string]bool{
		"home.1.x": true, "home.1.x/3": true, "home.1.x/3#2": true, "w-7": true,
		"home.1.x/4": false, "home.1": false, "w-77": false, "home.1.x/3#1": false,
	} {
		if r.Concerns(subject) != want {
			t.Errorf("%s: want %v", subject, want)
		}
	}
}

func TestStoreOutageLosesNothingWithinTheBound(t *testing.T) {
	b := newFixture(clockwork.NewFakeClock())
	defer b.network.Close()
	l := b.newLog(t, "vm-1", "carthage")
	b.memory.Faults.SetDown(true)
	for i := range maxPending + 100 {
		l.Record(Record{Verb: VerbStart, Subject: fmt.Sprint("job-", i)})
		if i%500 == 0 {
			l.Flush(context.Background())
		}
	}
	if dropped := b.counter("Dropped"); dropped != 100 {
		t.Fatalf("%d records were dropped", dropped)
	}
	b.memory.Faults.SetDown(false)
	for range maxPending/maxSegmentRecords + 1 {
		l.Flush(context.Background())
	}
	if written := b.counter("Written"); written != maxPending {
		t.Fatalf("%d records were written", written)
	}
	fresh := b.newLog(t, "vm-2", "carthage")
	b.network.SetDown("vm-1", true)
	assertVerbs(t, query(t, fresh, "job-100"), VerbStart)
}

func TestLostAnswerShowsNoRecordTwice(t *testing.T) {
	b := newFixture(clockwork.NewFakeClock())
	defer b.network.Close()
	l := b.newLog(t, "vm-1", "carthage")
	l.Record(Record{Verb: VerbAccept, Subject: "j"})
	b.memory.Faults.LoseAnswers(2)
	l.Flush(context.Background())
	l.Flush(context.Background())
	fresh := b.newLog(t, "vm-2", "carthage")
	b.network.SetDown("vm-1", true)
	assertVerbs(t, query(t, fresh, "j"), VerbAccept)
}

func TestRequestsDoNotCrowdOutDecisions(t *testing.T) {
	b := newFixture(clockwork.NewFakeClock())
	defer b.network.Close()
	l := b.newLog(t, "vm-1", "carthage")
	l.Record(Record{Verb: VerbQuarantine, Subject: "w-1"})
	for i := range 3 * maxPendingRequests {
		l.Record(Record{Verb: VerbAnswer, Subject: fmt.Sprint("r-", i)})
	}
	l.Flush(context.Background())
	fresh := b.newLog(t, "vm-2", "carthage")
	b.network.SetDown("vm-1", true)
	assertVerbs(t, query(t, fresh, "w-1"), VerbQuarantine)
}

// TestStoreCallsAtTheTarget runs the logs of 24 VMs at the target's peak of starts, with four records for each.
func TestStoreCallsAtTheTarget(t *testing.T) {
	const vms, starts, minutes = 24, 90, 3
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(clockwork.NewRealClock())
		defer b.network.Close()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		logs := make([]*Log, vms)
		for i := range logs {
			logs[i] = b.newLog(t, types.VMID(fmt.Sprint("vm-", i)), types.DataCentre(fmt.Sprint("dc-", i/3)))
			go func() {
				_ = logs[i].Run(ctx)
				done <- struct{}{}
			}()
		}
		for second := range minutes * 60 {
			for i := range starts * 4 {
				logs[i%8*3].Record(startRecord(i, second))
			}
			time.Sleep(time.Second)
		}
		calls := float64(b.calls.Total("Store.", meter.Calls)) / (minutes * 60)
		bytes := float64(b.calls.Total("Store.", meter.SentBytes)) / (minutes * 60) / 8
		t.Logf("%.1f store calls a second for the fleet, %.0f bytes a second for a lead", calls, bytes)
		if calls > vms/DefaultFlush.Seconds()+1 {
			t.Errorf("%.1f store calls a second", calls)
		}
		if dropped := b.counter("Dropped"); dropped > 0 {
			t.Errorf("%d records were dropped", dropped)
		}
		const budget = 14 << 10
		if bytes > budget {
			t.Errorf("%.0f bytes a second are over the control budget of a daemon", bytes)
		}
		cancel()
		for range logs {
			<-done
		}
	})
}

func startRecord(i, second int) Record {
	home := types.DataCentre(fmt.Sprint("dc-", i%8))
	job := types.JobID(types.Mint(home, 7).String())
	return Record{
		Actor: "lead", Verb: VerbStart, Subject: string(job.Task(i).Attempt(1)), Epoch: 7, Revision: 1000,
		Cause: "first worker with room", Inputs: []Input{
			{Name: "Worker", Value: fmt.Sprintf("worker-%d-%d", i%8, (i*31+second)%84)},
			{Name: "Waited", Value: fmt.Sprintf("%dms", (i*977+second*13)%6300)},
		},
	}
}

func TestOldRecordsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(clockwork.NewRealClock())
		defer b.network.Close()
		ctx, cancel := context.WithCancel(context.Background())
		l := b.newLog(t, "vm-1", "carthage")
		done := make(chan struct{})
		go func() {
			_ = l.Run(ctx)
			close(done)
		}()
		for range 40 {
			l.Record(Record{Verb: VerbStart, Subject: "j"})
			time.Sleep(time.Hour)
		}
		cancel()
		<-done
		page, err := b.memory.As("carthage", b.calls).List(context.Background(), keyPrefix)
		if err != nil {
			t.Fatal(err)
		}
		if kept := len(page.Entries); kept < 24 || kept > 27 {
			t.Fatalf("%d hours are kept", kept)
		}
	})
}
