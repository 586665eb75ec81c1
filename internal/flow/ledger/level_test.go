package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/store"
)

// reopen opens the ledger once more, after one of its values was written by the test, and returns the error.
func (f *storeFixture) reopen(key store.Key, value string) error {
	f.t.Helper()
	found, err := f.batcher().Get(f.t.Context(), key)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.batcher().Put(f.t.Context(), store.Put{Key: key, Value: json.RawMessage(value), Expect: found.Version}); err != nil {
		f.t.Fatal(err)
	}
	_, err = Open(f.t.Context(), Config{Store: f.batcher(), Clock: f.clock, Epoch: f.epoch, EpochVersion: f.version}, tasks.New())
	return err
}

// A leader that passes over what it does not know runs work again that is done, and drops fields of the records that it rewrites. What
// the snapshot covers is not read, so it may be of any level.
func TestLedgerOfANewerBuildIsNotOpened(t *testing.T) {
	const known = `{"Task":{"Ref":"j.0.0.0","State":"Waiting","Attempt":2}}`
	cases := map[string]struct {
		key       store.Key
		value     string
		wantNewer bool
	}{
		"NewerSegment":  {slotKey(2), `{"Number":2,"Level":99,"Records":[]}`, true},
		"UnknownKind":   {slotKey(2), `{"Number":2,"Level":1,"Records":[{"Reservation":{"Job":"j"}}]}`, true},
		"UnknownField":  {slotKey(2), `{"Number":2,"Level":1,"Later":3,"Records":[` + known + `]}`, false},
		"FormerBuild":   {slotKey(2), `{"Number":2,"Records":[` + known + `]}`, false},
		"NewerSnapshot": {partKey(0, 0), `{"Base":2,"Index":0,"Total":1,"Level":99,"Records":[]}`, true},
		"CoveredBefore": {slotKey(1), `{"Number":0,"Level":99,"Records":[]}`, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newStoreFixture(t)
			l, table := f.openLedger()
			f.mustAppend(l, Entry{Jobs: []*specs.Job{newJob("j")}})
			f.mustAppend(l, Entry{})
			snapshot := l.BeginSnapshot(table.SnapshotRecords(), nil)
			if name == "NewerSnapshot" || name == "CoveredBefore" {
				snapshot.set = 0
				if err := snapshot.Run(context.Background()); err != nil {
					t.Fatal(err)
				}
			}
			if err := f.reopen(c.key, c.value); errors.Is(err, ErrNewerLevel) != c.wantNewer {
				t.Errorf("opening the ledger: %v; because of a newer level: want %v", err, c.wantNewer)
			}
		})
	}
}

// Levels let a newer build find out what it may write.
func TestValuesNameTheirLevel(t *testing.T) {
	f := newStoreFixture(t)
	l, table := f.openLedger()
	f.mustAppend(l, Entry{})
	if err := l.BeginSnapshot(table.SnapshotRecords(), nil).Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, key := range []store.Key{slotKey(1), partKey(1, 0)} {
		var got struct{ Level Level }
		entry, err := f.batcher().Get(t.Context(), key)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(entry.Value, &got); err != nil || got.Level != 1 {
			t.Errorf("%s has level %d, want 1 (%v)", key, got.Level, err)
		}
	}
}
