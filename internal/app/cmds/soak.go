package cmds

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/proof/soak"
)

const (
	flagSeeds   = "seeds"
	flagDaemons = "daemons"
	flagRunners = "runners"
	flagCallers = "callers"

	defaultSeeds = 3
)

func benchSoak() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemons as processes under random failures and check the promises to callers and runners",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagSeed, Value: defaultSeed, Usage: "first seed"},
			&cli.Uint64Flag{Name: flagSeeds, Value: defaultSeeds, Usage: "how many seeds are run, one after another"},
			&cli.IntFlag{Name: flagDaemons, Value: soak.DefaultDaemons, Usage: "how many daemons run"},
			&cli.IntFlag{Name: flagRunners, Value: soak.DefaultRunners, Usage: "how many runners run tasks"},
			&cli.IntFlag{Name: flagCallers, Value: soak.DefaultCallers, Usage: "how many callers hand jobs in at a time"},
			&cli.DurationFlag{Name: flagLength, Value: soak.DefaultLength, Usage: "how long failures are brought about"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	executable, err := os.Executable()
	if err != nil {
		return errs.New(errs.Internal, "finding the program: %v", err)
	}
	first, failed := c.Uint64(flagSeed), 0
	for seed := first; seed < first+c.Uint64(flagSeeds) && ctx.Err() == nil; seed++ {
		hasViolations, err := soakSeed(ctx, c, executable, seed)
		if err != nil {
			return err
		}
		if hasViolations {
			failed++
		}
	}
	if failed > 0 {
		return errs.New(errs.Internal, "%d seeds broke a promise", failed)
	}
	return nil
}

// soakSeed runs one seed and tells whether it broke a promise; then the daemons' logs stay.
func soakSeed(ctx context.Context, c *cli.Command, executable string, seed uint64) (bool, error) {
	directory, err := soak.Directory(seed)
	if err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, soak.Config{
		Seed: seed, Command: []string{executable, "platform"}, Directory: directory, Daemons: c.Int(flagDaemons),
		Runners: c.Int(flagRunners), Callers: c.Int(flagCallers), Length: c.Duration(flagLength),
	})
	if err != nil {
		return false, err
	}
	if err := report.Print(writerOrStdout(c.Root().Writer)); err != nil {
		return false, err
	}
	if len(report.Broken) > 0 {
		return true, nil
	}
	if err := os.RemoveAll(directory); err != nil {
		return false, errs.New(errs.Internal, "removing logs: %v", err)
	}
	return false, nil
}
