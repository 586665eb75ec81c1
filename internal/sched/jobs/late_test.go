package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// lateCaller fails every call, and writes an answer to the reply afterwards.
type lateCaller struct{ wrote chan struct{} }

func (l *lateCaller) Call(_ context.Context, _ peer.Target, _ peer.Method, _, reply any) error {
	go func() {
		defer close(l.wrote)
		time.Sleep(time.Millisecond)
		if out, ok := reply.(*types.JobStatus); ok {
			out.State = types.JobDone
		}
	}()
	return errs.New(errs.Lost, "the answer is late")
}

// Guards against returning a reply after a failed call, while a late answer may still be written to it. The race
// detector shows the fault.
func TestLateAnswerIsNotRead(t *testing.T) {
	late := &lateCaller{wrote: make(chan struct{})}
	j := New(Config{Clock: clockwork.NewRealClock(), Peers: late})
	status, err := j.call(context.Background(), peer.Target{}, MethodStatus, nil)
	<-late.wrote
	if !errs.Is(err, errs.Lost) || status != (types.JobStatus{}) {
		t.Errorf("got %+v, %v; want an empty status and kind Lost", status, err)
	}
}
