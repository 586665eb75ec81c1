package front

import (
	"context"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/owner"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

// TestPanicInACallLeavesItInDoubt guards against a message of another daemon that ends the process: net/rpc does not recover
// panics of its handlers. The call may have taken effect, so its caller must not be told that it has not run.
func TestPanicInACallLeavesItInDoubt(t *testing.T) {
	f := newFront(&fakeLeader{})
	// An owner without a configuration panics at its first use.
	f.owner = &owner.Owner{}
	err := (&Service{front: f}).Submit(&SubmitArgs{Job: specs.Job{ID: "j"}}, &Empty{})
	if err == nil {
		t.Fatal("a call that panicked succeeded")
	}
	if got := errs.Decode(err.Error()); !errs.Is(got, errs.Internal) || !errs.AnswerOf(errs.Of(got).Kind).MayHaveRun {
		t.Errorf("got %v, want an error that leaves the call in doubt", got)
	}
	if got := metrics.GetOrRegisterCounter("Process.Panics", f.config.Metrics).Count(); got != 1 {
		t.Errorf("%d panics counted, want 1", got)
	}
	if err := f.callerError(false, f.serveLocally(context.Background(), &SubmitArgs{}, &Empty{})); !errs.Is(err, errs.Internal) {
		t.Errorf("the caller of a local call gets %v, want kind Internal", err)
	}
}
