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

// fixture holds logs that share a store, a network and a metrics registry.
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

// newLog returns the log of a new VM, which acts as a leader.
func (f *fixture) newLog(t *testing.T, id types.VMID, dc types.DataCentre) *Log {
	t.Helper()
	self := peer.Target{VM: id, Address: types.Address(id), Site: types.Site{Region: "r", DataCentre: dc}}
	node := f.network.Join(self, meter.Discard())
	f.targets = append(f.targets, self)
	l, err := NewLog(Config{
		Self: self, Clock: f.clock, Store: f.memory.As(dc, f.calls), Peers: node, Registrar: node,
		Entries: func() []peer.Target { return f.targets },
		Leading: func() (types.Epoch, bool) { return 1, true },
		Metrics: f.registry, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (f *fixture) counter(name string) int64 {
	return metrics.GetOrRegisterCounter("Audit."+name, f.registry).Count()
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

// TestRecordOutlivesItsVM guards against records that cannot be found any more once the VM that wrote them is down.
func TestRecordOutlivesItsVM(t *testing.T) {
	f := newFixture(clockwork.NewFakeClock())
	defer f.network.Close()
	dead, other := f.newLog(t, "vm-1", "carthage"), f.newLog(t, "vm-2", "sousse")
	dead.Record(Record{Verb: VerbAccept, Subject: "carthage.1.x"})
	dead.Record(Record{Verb: VerbStart, Subject: "carthage.1.x/0#1"})
	dead.Flush(context.Background())
	f.network.SetDown("vm-1", true)
	answer := query(t, other, "carthage.1.x")
	assertVerbs(t, answer, VerbAccept, VerbStart)
	if len(answer.Missing) != 1 || answer.Missing[0] != "vm-1" {
		t.Fatalf("missing sources %v, want vm-1", answer.Missing)
	}
}

func TestQueryJoinsSourcesOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFixture(clock)
	defer f.network.Close()
	first, second := f.newLog(t, "vm-1", "carthage"), f.newLog(t, "vm-2", "ariana")
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

// TestStoreOutageLosesNothingWithinTheBound guards against records that are lost in a store outage although they fit in
// the queue of waiting records.
func TestStoreOutageLosesNothingWithinTheBound(t *testing.T) {
	f := newFixture(clockwork.NewFakeClock())
	defer f.network.Close()
	l := f.newLog(t, "vm-1", "carthage")
	f.memory.Faults.SetDown(true)
	for i := range maxPending + 100 {
		l.Record(Record{Verb: VerbStart, Subject: fmt.Sprint("job-", i)})
		if i%500 == 0 {
			l.Flush(context.Background())
		}
	}
	if dropped := f.counter("Dropped"); dropped != 100 {
		t.Fatalf("%d records were dropped, want 100", dropped)
	}
	f.memory.Faults.SetDown(false)
	for range maxPending/maxSegmentRecords + 1 {
		l.Flush(context.Background())
	}
	if written := f.counter("Written"); written != maxPending {
		t.Fatalf("%d records were written, want all that waited", written)
	}
	fresh := f.newLog(t, "vm-2", "carthage")
	f.network.SetDown("vm-1", true)
	assertVerbs(t, query(t, fresh, "job-100"), VerbStart)
}

// TestLostAnswerShowsNoRecordTwice guards against duplicates in answers: a write whose answer was lost took effect, and
// its records are written again in another segment.
func TestLostAnswerShowsNoRecordTwice(t *testing.T) {
	f := newFixture(clockwork.NewFakeClock())
	defer f.network.Close()
	l := f.newLog(t, "vm-1", "carthage")
	l.Record(Record{Verb: VerbAccept, Subject: "j"})
	f.memory.Faults.LoseAnswers(2)
	l.Flush(context.Background())
	l.Flush(context.Background())
	fresh := f.newLog(t, "vm-2", "carthage")
	f.network.SetDown("vm-1", true)
	assertVerbs(t, query(t, fresh, "j"), VerbAccept)
}

// TestRequestsDoNotDisplaceDecisions guards against many records of requests that displace a waiting record of a
// decision.
func TestRequestsDoNotDisplaceDecisions(t *testing.T) {
	f := newFixture(clockwork.NewFakeClock())
	defer f.network.Close()
	l := f.newLog(t, "vm-1", "carthage")
	l.Record(Record{Verb: VerbQuarantine, Subject: "w-1"})
	for i := range 3 * maxPendingRequests {
		l.Record(Record{Verb: VerbAnswer, Subject: fmt.Sprint("r-", i)})
	}
	l.Flush(context.Background())
	fresh := f.newLog(t, "vm-2", "carthage")
	f.network.SetDown("vm-1", true)
	assertVerbs(t, query(t, fresh, "w-1"), VerbQuarantine)
}

// TestStoreCallsAtTheTarget runs the logs of 24 VMs at the target's peak rate of starts, with four records per start.
// It guards against too many store calls, dropped records, and more bytes per leader than a daemon's control budget.
func TestStoreCallsAtTheTarget(t *testing.T) {
	const vms, starts, minutes = 24, 90, 3
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(clockwork.NewRealClock())
		defer f.network.Close()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		logs := make([]*Log, vms)
		for i := range logs {
			logs[i] = f.newLog(t, types.VMID(fmt.Sprint("vm-", i)), types.DataCentre(fmt.Sprint("dc-", i/3)))
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
		calls := float64(f.calls.Total("Store.", meter.Calls)) / (minutes * 60)
		bytes := float64(f.calls.Total("Store.", meter.SentBytes)) / (minutes * 60) / 8
		t.Logf("%.1f store calls per second for the fleet, %.0f bytes per second for a leader", calls, bytes)
		if calls > vms/DefaultFlushInterval.Seconds()+1 {
			t.Errorf("%.1f store calls per second are over the limit of one per VM and flush interval, plus 1", calls)
		}
		if dropped := f.counter("Dropped"); dropped > 0 {
			t.Errorf("%d records were dropped", dropped)
		}
		const budget = 14 << 10
		if bytes > budget {
			t.Errorf("%.0f bytes per second are over the control budget of a daemon", bytes)
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
		f := newFixture(clockwork.NewRealClock())
		defer f.network.Close()
		ctx, cancel := context.WithCancel(context.Background())
		l := f.newLog(t, "vm-1", "carthage")
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
		page, err := f.memory.As("carthage", f.calls).List(context.Background(), keyPrefix)
		if err != nil {
			t.Fatal(err)
		}
		if kept := len(page.Entries); kept < 24 || kept > 27 {
			t.Fatalf("segments of %d hours are kept, want 24 to 27", kept)
		}
	})
}
