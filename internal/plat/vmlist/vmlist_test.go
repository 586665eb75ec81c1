package vmlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

// wantListed fails the test unless the list consists of exactly the VMs with these ids, in this order.
func wantListed(t *testing.T, s Source, ids ...types.VMID) {
	t.Helper()
	got, err := s.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(got.VMs) != len(ids) {
		t.Fatalf("got %+v, want %v", got.VMs, ids)
	}
	for i, id := range ids {
		if got.VMs[i].ID != id {
			t.Fatalf("got %+v, want %v", got.VMs, ids)
		}
	}
}

// An answer to a client that has the current version must not contain the VMs again.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	m := NewMemory(clockwork.NewFakeClock(), "r", 0)
	server := httptest.NewServer(m.Handler())
	defer server.Close()
	calls := meter.Discard()
	h := NewHTTP(HTTPConfig{Base: server.URL, Region: "r", Meter: calls, Client: http.DefaultClient})
	vm := types.VM{
		ID: "a", Role: types.RoleEntry, State: types.VMLive, Address: "10.0.0.1:1", Site: types.Site{Region: "r", DataCentre: "d"},
	}
	m.Set(vm)
	wantListed(t, h, "a")
	first := calls.Get(KindList, meter.ReadBytes)
	wantListed(t, h, "a")
	if second := calls.Get(KindList, meter.ReadBytes) - first; second >= first/2 {
		t.Fatalf("the unchanged list took %d bytes, the first answer %d; want less than half", second, first)
	}
	vm.ID = "b"
	m.Set(vm)
	wantListed(t, h, "a", "b")
	m.Remove("a")
	wantListed(t, h, "b")
}
