package elect

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/ledger"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// FuzzRecords guards against a record of the election that stops a daemon, or replaces what it knows of a newer epoch.
func FuzzRecords(f *testing.F) {
	f.Add(byte(0), []byte(`{"Target":{"VM":"a"},"Epoch":7}`), uint64(9))
	f.Add(byte(1), []byte(`{"Epoch":7,"Nonce":"n"}`), uint64(9))
	f.Add(byte(2), []byte(`{"Target":{"VM":"a"},"Strength":1}`), uint64(9))
	f.Add(byte(0), []byte(`null`), uint64(0))
	keys := []store.Key{LeaderKey, ledger.EpochKey, memberPrefix + "a", memberPrefix}
	f.Fuzz(func(t *testing.T, key byte, value []byte, version uint64) {
		e := New(Config{Clock: clockwork.NewFakeClock(), Log: zerolog.Nop()})
		e.leader.Epoch = 5
		e.applyEntry(store.Entry{Key: keys[int(key)%len(keys)], Value: value, Version: store.Version(version)})
		if e.leader.Epoch < 5 {
			t.Errorf("the leader of epoch 5 was replaced by that of epoch %d", e.leader.Epoch)
		}
		e.Roster()
		e.weakDelay()
	})
}
