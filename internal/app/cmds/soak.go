package cmds

import (
	"context"
	"fmt"
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
	flagNarrow  = "narrow-links"
	flagLarge   = "large-catalogs"
	// flagShortTerms lets no term last until its snapshot is written.
	flagShortTerms = "short-terms"
	flagFormer     = "former"
	flagKeepLogs   = "keep-logs"
	flagReboots    = "runner-reboots"
	flagPolicies   = "changing-policies"
	flagStore      = "store-faults"
	flagScarce     = "scarce-processor"
	flagPower      = "power-losses"
	flagTasks      = "tasks"
	flagBuild      = "build"
	flagOnly       = "only"

	defaultSeeds = 3
)

func benchSoak() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemons as processes under random failures and check the guarantees to callers and runners",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagSeed, Value: defaultSeed, Usage: "first seed"},
			&cli.Uint64Flag{Name: flagSeeds, Value: defaultSeeds, Usage: "number of seeds to run, one after another"},
			&cli.IntFlag{Name: flagDaemons, Value: soak.DefaultDaemons, Usage: "number of daemons"},
			&cli.IntFlag{Name: flagRunners, Value: soak.DefaultRunners, Usage: "number of runners"},
			&cli.IntFlag{Name: flagCallers, Value: soak.DefaultCallers, Usage: "number of callers that submit jobs concurrently"},
			&cli.BoolFlag{Name: flagNarrow, Usage: "let the leader call the runners through relays, as over narrow network links"},
			&cli.BoolFlag{Name: flagLarge, Usage: "write large catalogs, and give the daemons narrow links to the store"},
			&cli.BoolFlag{Name: flagShortTerms, Usage: "kill each leader within two seconds, and refuse its snapshots of the ledger"},
			&cli.StringFlag{Name: flagFormer, Usage: "path of a former build, with which the daemons begin, for upgrades and rollbacks"},
			&cli.BoolFlag{Name: flagReboots, Usage: "restart several runners under their ids every second or two, while starts are under way and long tasks run"},
			&cli.BoolFlag{Name: flagPolicies, Usage: "move the queue between two services, give and take its recommendation, and remove its route, every second or two"},
			&cli.BoolFlag{Name: flagStore, Usage: "add rate limits, refusals to some daemons, lost and late answers of the store, and failures of the leader"},
			&cli.BoolFlag{Name: flagScarce, Usage: "give each daemon one processor, and the weak ones a share of it"},
			&cli.IntFlag{Name: flagPower, Usage: "how often all daemons are killed at once at the end, right after a job was accepted"},
			&cli.IntFlag{Name: flagTasks, Value: soak.DefaultMaxTasks, Usage: "maximum number of tasks in a step of a job"},
			&cli.BoolFlag{Name: flagKeepLogs, Usage: "keep the daemons' logs of runs that violate no guarantee as well, and print their path"},
			&cli.StringFlag{Name: flagOnly, Usage: "inject this kind of failure alone, for example \"store refuses writes\""},
			&cli.StringFlag{Name: flagBuild, Usage: "path of another build to run the daemons with, instead of this one"},
			&cli.DurationFlag{Name: flagLength, Value: soak.DefaultLength, Usage: "how long failures are injected"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	executable := c.String(flagBuild)
	if executable == "" {
		own, err := os.Executable()
		if err != nil {
			return errs.New(errs.Internal, "finding the path of this executable: %v", err)
		}
		executable = own
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
		return errs.New(errs.Internal, "%d seeds violated a guarantee", failed)
	}
	return nil
}

// soakSeed runs one seed and reports whether it violated a guarantee. In that case, as after an error, the daemons'
// logs are not removed.
func soakSeed(ctx context.Context, c *cli.Command, executable string, seed uint64) (bool, error) {
	directory, err := soak.NewDirectory(seed)
	if err != nil {
		return false, err
	}
	var former []string
	if path := c.String(flagFormer); path != "" {
		former = []string{path, "platform"}
	}
	report, err := soak.Run(ctx, soak.Config{
		Seed: seed, Command: []string{executable, "platform"}, Former: former, Directory: directory, Daemons: c.Int(flagDaemons),
		Runners: c.Int(flagRunners), Callers: c.Int(flagCallers), Length: c.Duration(flagLength),
		NarrowLinks: c.Bool(flagNarrow), LargeCatalogs: c.Bool(flagLarge), ShortTerms: c.Bool(flagShortTerms),
		StoreFaults: c.Bool(flagStore), ScarceProcessor: c.Bool(flagScarce), PowerLosses: c.Int(flagPower), MaxTasks: c.Int(flagTasks),
		OnlyFault: c.String(flagOnly), RunnerReboots: c.Bool(flagReboots), ChangingPolicies: c.Bool(flagPolicies),
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
	if c.Bool(flagKeepLogs) {
		_, err := fmt.Fprintln(writerOrStdout(c.Root().Writer), "  the daemons' logs are in "+directory)
		return false, err
	}
	if err := os.RemoveAll(directory); err != nil {
		return false, errs.New(errs.Internal, "removing the daemons' logs: %v", err)
	}
	return false, nil
}
