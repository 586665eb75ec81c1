package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// A gang that looks for more runners must reserve in the meantime, or smaller work takes each place that becomes free.
func TestGangsReserveDuringCallsForAdvice(t *testing.T) {
	for _, isAsking := range []bool{false, true} {
		t.Run(fmt.Sprintf("Asking=%v", isAsking), func(t *testing.T) {
			f, s := newCrampedGang(t, start.Add(time.Minute))
			if isAsking {
				s.Advice.Pending = 1
			}
			f.addJob("small", 2, stepOf(10, 1*types.Core))
			if got := len(f.plan(start).Starts); got != 8 {
				t.Errorf("%d small tasks start, want 8: none on the two runners that the gang reserves", got)
			}
		})
	}
}
