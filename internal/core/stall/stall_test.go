package stall

import "testing"

// A turn that has ended must not be reported, and of those that go on the oldest is.
func TestOldestTurnIsReported(t *testing.T) {
	w := New()
	endFirst := w.Begin("first")
	w.Check()
	endSecond := w.Begin("second")
	checkOldest(t, w, "first", 2)
	endFirst()
	checkOldest(t, w, "second", 2)
	endSecond()
	checkOldest(t, w, "", 0)
}

func checkOldest(t *testing.T, w *Watch, want string, wantChecks int) {
	t.Helper()
	if what, checks := w.Check(); what != want || checks != wantChecks {
		t.Errorf("oldest turn is %q after %d checks, want %q after %d", what, checks, want, wantChecks)
	}
}
