package once

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/audit"
)

func newLeaderTable(tb testing.TB) *Table {
	tb.Helper()
	t := NewTable(TableConfig{
		Self:  peer.Target{VM: "vm-1", Site: types.Site{Region: "tunis-north", DataCentre: "carthage"}},
		Clock: clockwork.NewFakeClock(), Audit: audit.Discard{}, Log: zerolog.Nop(),
		Copies: func() []peer.Target { return nil },
		Policy: func() envdoc.RequestPolicy { return envdoc.Default().Requests },
	})
	t.Begin(context.Background(), 3)
	return t
}

func FuzzMarkOf(f *testing.F) {
	f.Add("carthage.3.0-abc-def")
	f.Add("carthage.18446744073709551615.zzzzzzzzzzzzzzzzzzzz-a-b")
	f.Add("a.0.---")
	f.Fuzz(func(t *testing.T, text string) {
		minted, err := types.ParseID(text)
		if err != nil {
			return
		}
		leader := newLeaderTable(t)
		if _, isOpen := leader.findOpenLedger(markOf(minted)); isOpen {
			t.Errorf("%q is in an open generation of a table that did not mint it", text)
		}
	})
}

func FuzzRegister(f *testing.F) {
	f.Add([]byte(`{"ID":"carthage.3.0-abc-def","Content":1,"Token":[1,2,3]}`))
	f.Add([]byte(`{"ID":"carthage.2.0-abc-def","Close":{"Kind":"Draining","Message":"x"}}`))
	f.Add([]byte(`{"ID":"sousse.9.x","Wait":-1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var args RegisterArgs
		if json.Unmarshal(text, &args) != nil {
			return
		}
		args.Wait = 0
		reply, err := newLeaderTable(t).register(&args)
		if err == nil && reply.Verdict == VerdictGo {
			t.Errorf("id %s was granted by a table that did not mint it", args.ID)
		}
	})
}

func FuzzSettle(f *testing.F) {
	f.Add([]byte(`{"ID":"carthage.3.0-abc-def","Answer":{"ID":"carthage.3.0-abc-def","Outcome":"NotRun","Digest":17241709254077376921}}`))
	f.Add([]byte(`{"ID":"carthage.1.x","Answer":{"ID":"carthage.1.x","Outcome":"Done","Length":5,"Digest":1,"Reason":{"Kind":"TooLarge"}}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var args SettleArgs
		if json.Unmarshal(text, &args) != nil {
			return
		}
		leader := newLeaderTable(t)
		if leader.recordAnswer(&args) == nil && leader.recordCount > 0 {
			t.Errorf("id %s has a record in a table that did not mint it", args.ID)
		}
	})
}

// BenchmarkRegister measures one id from its registration to its final answer at the home.
func BenchmarkRegister(b *testing.B) {
	leader := newLeaderTable(b)
	leader.config.MaxIDs = 1 << 30
	mark := leader.currentMark()
	b.ReportAllocs()
	for b.Loop() {
		id := Mint("carthage", mark)
		token := NewToken()
		if _, err := leader.register(&RegisterArgs{ID: id, Content: 1, Token: token}); err != nil {
			b.Fatal(err)
		}
		if err := leader.recordAnswer(&SettleArgs{ID: id, Content: 1, Token: token, Answer: *types.NewDoneAnswer(id, nil)}); err != nil {
			b.Fatal(err)
		}
	}
}
