package trial

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/runner"
)

// Lending names the system under test, which is compared with the baselines.
const Lending Baseline = "Lending"

// workSpreadPerMille is the maximum deviation of the duration of a call from the mean, in thousandths of the mean.
const workSpreadPerMille = 500

type (
	// BenchConfig is the size of a benchmark.
	BenchConfig struct {
		Clock   clockwork.Clock
		Entries int
		Runners int
		Work    time.Duration
		WarmUp  time.Duration
		Span    time.Duration
		// Percents are the request rates, in percent of the runners' capacity.
		Percents []int
		Kinds    []Baseline
		Seed     uint64
	}

	// Row is the result of one way to choose a runner at one request rate.
	Row struct {
		Kind    Baseline
		Percent int
		// Goodput is the rate of answers with outcome Done, in percent of the runners' capacity.
		Goodput float64
		// PerSecond is the rate of answers with outcome Done.
		PerSecond float64
		Result    Result
		// Peak is the maximum number of calls that one runner had at a time.
		Peak int
		// LinkBytes is the bytes per second of requests and their answers over the paid link.
		LinkBytes float64
		// ControlBytes is the bytes of calls between daemons per request.
		ControlBytes float64
	}
)

// DefaultBench returns the benchmark at the present size of the system: 8 entries and 50 runners.
func DefaultBench(clock clockwork.Clock) BenchConfig {
	return BenchConfig{
		Clock: clock, Entries: 8, Runners: 50, Work: 200 * time.Millisecond,
		WarmUp: 3 * time.Second, Span: 5 * time.Second, Seed: 1,
		Percents: []int{50, 90, 150, 300},
		Kinds:    []Baseline{Lending, RoundRobin, Random, LeastLoaded},
	}
}

// Bench measures every request rate with every way to choose a runner.
func Bench(ctx context.Context, c BenchConfig) []Row {
	var rows []Row
	for _, kind := range c.Kinds {
		for _, percent := range c.Percents {
			rows = append(rows, c.measureRate(ctx, kind, percent))
		}
	}
	return rows
}

func (c BenchConfig) measureRate(ctx context.Context, kind Baseline, percent int) Row {
	cell := New(Config{
		Clock: c.Clock, Entries: c.Entries, Runners: c.Runners, Slots: 8, Connections: 64, Work: c.Work,
		Near: time.Millisecond, Far: 12 * time.Millisecond,
	})
	cell.Runners.SetLimits(runner.Limits{Slots: 8, Connections: 64})
	cell.Runners.SetSpread(workSpreadPerMille)
	cell.Start(ctx)
	defer cell.Stop()
	c.Clock.Sleep(2 * time.Second)
	capacity := float64(c.Runners*8) / c.Work.Seconds()
	load := Load{
		Clock: c.Clock, Seed: c.Seed, PerSecond: capacity * float64(percent) / 100, WarmUp: c.WarmUp, Span: c.Span,
		Deadline: 2 * time.Second, Work: c.Work, Urgent: 200, Batch: 300, NonIdempotent: 100, BodySize: 256,
	}
	result := load.Run(ctx, cell.senders(kind))
	return cell.newRow(kind, percent, load, result, capacity)
}

func (c *Cell) senders(kind Baseline) []Sender {
	if kind != Lending {
		return c.Baselines(kind)
	}
	out := make([]Sender, 0, len(c.Daemons))
	for _, d := range c.Daemons {
		out = append(out, d.Entry)
	}
	return out
}

func (c *Cell) newRow(kind Baseline, percent int, load Load, result Result, capacity float64) Row {
	row := Row{Kind: kind, Percent: percent, Result: result, PerSecond: result.PerSecond(load.Span)}
	row.Goodput = 100 * row.PerSecond / capacity
	for _, site := range Sites() {
		for _, up := range c.Upstreams(site.DataCentre) {
			row.Peak = max(row.Peak, c.Runners.Peak(up.ID))
		}
	}
	var link, control int64
	for _, d := range c.Daemons {
		link += d.Meter.Get(runner.KindCall, meter.CrossedBytes)
		control += d.Meter.Total("Peer.", meter.SentBytes) + d.Meter.Total("Peer.", meter.ReadBytes)
	}
	row.LinkBytes = float64(link) / (load.WarmUp + load.Span).Seconds()
	row.ControlBytes = float64(control) / float64(max(1, len(result.Answers)))
	return row
}

// Print writes the rows as a table.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	lines := []string{"Kind\tLoad\tPerSecond\tGoodput\tp50\tp99\tp99.9\tUrgent p99\tNotRun\tUnknown\tWrong\tPeak\tLink B/s\tControl B/request\t"}
	for _, r := range rows {
		lines = append(lines, r.line())
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(t, line); err != nil {
			return err
		}
	}
	return t.Flush()
}

func (r Row) line() string {
	all := r.Result.AllWaits()
	quantile := func(percent float64) time.Duration {
		return time.Duration(all.ValueAtQuantile(percent)) * time.Microsecond
	}
	return fmt.Sprintf("%s\t%d%%\t%.0f\t%.1f%%\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t",
		r.Kind, r.Percent, r.PerSecond, r.Goodput, quantile(50), quantile(99), quantile(99.9), r.Result.Wait(types.ClassUrgent, 99),
		r.Result.NotRun, r.Result.Unknown, r.Result.Wrong, r.Peak, r.LinkBytes, r.ControlBytes)
}

// Find returns the row of a way to choose a runner at a request rate, or false when there is none.
func Find(rows []Row, kind Baseline, percent int) (Row, bool) {
	i := slices.IndexFunc(rows, func(r Row) bool { return r.Kind == kind && r.Percent == percent })
	if i < 0 {
		return Row{}, false
	}
	return rows[i], true
}
