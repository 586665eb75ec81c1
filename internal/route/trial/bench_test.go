package trial

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// TestLoadKeepsItsBounds runs on the clock of a bubble, so that the machine's load does not change what it shows.
func TestLoadKeepsItsBounds(t *testing.T) {
	bubble(t, func(t *testing.T) {
		config := DefaultBench(clockwork.NewRealClock())
		config.Percents = []int{50, 150, 300}
		config.Kinds = []Baseline{Lending}
		config.WarmUp, config.Span = 2*time.Second, 2*time.Second
		rows := Bench(context.Background(), config)
		logRows(t, rows)
		wantGoodput(t, rows, 300, 95)
		wantUrgent(t, rows, config.Work)
		for _, r := range rows {
			if r.Peak > 8 || r.Result.Wrong > 0 || r.Result.Unknown > 0 {
				t.Errorf("at %d%%: peak %d, %d wrong, %d unknown", r.Percent, r.Peak, r.Result.Wrong, r.Result.Unknown)
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

func wantGoodput(t *testing.T, rows []Row, percent int, least float64) {
	t.Helper()
	row, ok := Find(rows, Lending, percent)
	if !ok || row.Goodput < least {
		t.Errorf("goodput at %d%% is %.1f%%, want %.0f%%", percent, row.Goodput, least)
	}
}

// wantUrgent compares the times from request to answer of the urgent class.
func wantUrgent(t *testing.T, rows []Row, work time.Duration) {
	t.Helper()
	at50, _ := Find(rows, Lending, 50)
	at150, _ := Find(rows, Lending, 150)
	low := work + at50.Result.Wait(types.ClassUrgent, 99)
	high := work + at150.Result.Wait(types.ClassUrgent, 99)
	if high > 2*low {
		t.Errorf("urgent p99 is %s at 150%% and %s at 50%%", high, low)
	}
}
