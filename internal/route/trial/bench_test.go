package trial

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// TestLoadKeepsItsBounds guards against low goodput, slow urgent requests and overcommitted runners under overload. It
// runs on the clock of a bubble, so that the load of the machine does not affect the result.
func TestLoadKeepsItsBounds(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		config := DefaultBench(clockwork.NewRealClock())
		config.Percents = []int{50, 150, 300}
		config.Kinds = []Baseline{Lending}
		config.WarmUp, config.Span = 2*time.Second, 2*time.Second
		rows := Bench(context.Background(), config)
		logRows(t, rows)
		wantGoodput(t, rows, 300, 95)
		wantUrgentLatency(t, rows, config.Work)
		for _, r := range rows {
			if r.Peak > 8 || r.Result.Wrong > 0 || r.Result.Unknown > 0 {
				t.Errorf("at %d%% of capacity: peak of %d calls on a runner, want at most 8; %d wrong and %d Unknown answers, want none", r.Percent, r.Peak, r.Result.Wrong, r.Result.Unknown)
			}
		}
	})
}

func logRows(t *testing.T, rows []Row) {
	t.Helper()
	var text strings.Builder
	if err := Print(&text, rows); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + text.String())
}

func wantGoodput(t *testing.T, rows []Row, percent int, minGoodput float64) {
	t.Helper()
	row, ok := Find(rows, Lending, percent)
	if !ok || row.Goodput < minGoodput {
		t.Errorf("goodput at %d%% of capacity is %.1f%%, want at least %.0f%%", percent, row.Goodput, minGoodput)
	}
}

// wantUrgentLatency checks that the p99 of the time from request to answer of class Urgent at 150% of capacity is at
// most twice that at 50%.
func wantUrgentLatency(t *testing.T, rows []Row, work time.Duration) {
	t.Helper()
	at50, _ := Find(rows, Lending, 50)
	at150, _ := Find(rows, Lending, 150)
	low := work + at50.Result.Wait(types.ClassUrgent, 99)
	high := work + at150.Result.Wait(types.ClassUrgent, 99)
	if high > 2*low {
		t.Errorf("p99 of class Urgent is %s at 150%% of capacity, want at most twice the %s at 50%%", high, low)
	}
}

// BenchmarkRequest measures the whole path of an idempotent request through an entry, with runners that answer
// immediately.
func BenchmarkRequest(b *testing.B) {
	c := New(Config{Clock: clockwork.NewRealClock(), Entries: 3, Runners: 50, Slots: 8, Connections: 64})
	c.Start(context.Background())
	defer c.Stop()
	time.Sleep(time.Second)
	d := c.Daemons[0]
	id, err := d.Entry.Mint()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		a := d.Entry.Do(context.Background(), &types.Request{
			ID: id, Service: Service, Team: teamID(0), Class: types.ClassNormal, Idempotent: true,
			Deadline: time.Now().Add(time.Second),
		})
		if a.Outcome != types.OutcomeDone {
			b.Fatal(a.Reason)
		}
	}
}
