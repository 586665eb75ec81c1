package cmds

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/fitter"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/fleet"
	requests "github.com/magnoliawalk/magnoliawalk/internal/route/trial"
	placement "github.com/magnoliawalk/magnoliawalk/internal/sched/trial"
)

const (
	flagSeed   = "seed"
	flagPage   = "page"
	flagLength = "length"

	defaultSeed = 1
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:     "bench",
		Usage:    "measure the scheduler against baselines and the target",
		Commands: []*cli.Command{benchPlacement(), benchRequests(), benchCapacity(), benchFaults(), benchSoak()},
	}
}

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: flagSeed, Value: defaultSeed, Usage: "seed of the random generator"}
}

func benchPlacement() *cli.Command {
	return &cli.Command{
		Name:  "placement",
		Usage: "compare wait times, packing and deadlines with three baselines on the same arrivals",
		Flags: []cli.Flag{seedFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			for _, workload := range placement.All(c.Uint64(flagSeed)) {
				if ctx.Err() != nil {
					return nil
				}
				results, err := placement.Compare(workload)
				if err != nil {
					return err
				}
				if err := placement.Table(c.Root().Writer, results); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func benchRequests() *cli.Command {
	return &cli.Command{
		Name:  "requests",
		Usage: "compare wait times and goodput with three baselines at 50, 90, 150 and 300% of capacity",
		Flags: []cli.Flag{seedFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			config := requests.DefaultBench(clockwork.NewRealClock())
			config.Seed = c.Uint64(flagSeed)
			return requests.Print(c.Root().Writer, requests.Bench(ctx, config))
		},
	}
}

func benchCapacity() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the cost of each role at several sizes and extrapolate it to the target size",
		Flags: []cli.Flag{&cli.StringFlag{Name: flagPage, Usage: "page whose generated section is replaced, e.g. docs/CAPACITY.md"}},
		Action: func(_ context.Context, c *cli.Command) error {
			results, err := fitter.RunMeasures(fitter.All())
			if err != nil {
				return err
			}
			if page := c.String(flagPage); page != "" {
				return fitter.Update(page, results)
			}
			return fitter.Write(c.Root().Writer, results)
		},
	}
}

func benchFaults() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "inject failures, chosen by a seed, into real daemons in this process and check the guarantees",
		Flags: []cli.Flag{
			seedFlag(),
			&cli.DurationFlag{Name: flagLength, Value: fleet.DefaultLength, Usage: "how long failures are injected"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			report, err := fleet.Run(ctx, fleet.Config{Seed: c.Uint64(flagSeed), Length: c.Duration(flagLength)})
			if err != nil {
				return err
			}
			report.Print(c.Root().Writer)
			if report.Failed() {
				return errs.New(errs.Internal, "seed %d violated a guarantee or did not converge", report.Seed)
			}
			return nil
		},
	}
}
