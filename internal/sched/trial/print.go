package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const columnGap = 2

// Table writes the results side by side, one line for each planner of each run.
func Table(w io.Writer, results []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	if _, err := fmt.Fprintln(t, "run\tplanner\turgent p50/p99/worst\tnormal p50/p99/worst\tbatch p50/p99/worst\t"+
		"packing\toccupied\tpreempted\tmissed\tstarts\tdecision p99\tper start"); err != nil {
		return err
	}
	for _, r := range results {
		if _, err := fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.0f%%\t%.0f%%\t%d\t%d of %d\t%d\t%s\t%s\n",
			r.Config, r.Planner,
			r.formatWaits(types.ClassUrgent), r.formatWaits(types.ClassNormal), r.formatWaits(types.ClassBatch),
			100*r.Packing, 100*r.Occupied, r.Preemptions, r.Missed, r.Deadlines, r.Starts,
			time.Duration(r.Decision.ValueAtPercentile(99))*time.Microsecond, r.decisionPerStart()); err != nil {
			return err
		}
	}
	return t.Flush()
}

func (r *Result) formatWaits(c types.Class) string {
	text := fmt.Sprintf("%s/%s/%s", formatDuration(r.Wait(c, 50)), formatDuration(r.Wait(c, 99)), formatDuration(r.Wait(c, 100)))
	if n := r.Waiting[c]; n > 0 {
		text += fmt.Sprintf(" (%d never started)", n)
	}
	return text
}

func (r *Result) decisionPerStart() time.Duration {
	return (r.Deciding / time.Duration(max(1, r.Starts))).Round(time.Microsecond)
}

func formatDuration(d time.Duration) string {
	if d < 10*time.Second {
		return d.Round(10 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}
