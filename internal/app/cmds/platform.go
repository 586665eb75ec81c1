package cmds

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/logs"
	"github.com/magnoliawalk/magnoliawalk/platform"
)

const (
	flagSettings = "settings"
	flagMetrics  = "metrics-port"
	flagProfiles = "profiles"

	settingsEnv = "MAGNOLIAWALK_SETTINGS"
	levelEnv    = "MAGNOLIAWALK_LOG_LEVEL"
	metricsEnv  = "MAGNOLIAWALK_METRICS_PORT"
	profilesEnv = "MAGNOLIAWALK_PROFILES"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the daemon of one entry VM on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSettings, Usage: "path of the platform's settings file", Sources: cli.EnvVars(settingsEnv)},
			&cli.StringFlag{
				Name: flagMetrics, Value: "9464", Usage: "port on which metrics are served", Sources: cli.EnvVars(metricsEnv),
			},
			&cli.BoolFlag{
				Name: flagProfiles, Usage: "serve profiles of the process on the metrics port, under /debug/pprof/", Sources: cli.EnvVars(profilesEnv),
			},
			&cli.StringFlag{
				Name: flagLevel, Value: zerolog.LevelInfoValue, Usage: "debug, info, warn or error", Sources: cli.EnvVars(levelEnv),
			},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	level, err := zerolog.ParseLevel(c.String(flagLevel))
	if err != nil {
		return errs.New(errs.Invalid, "setting --%s is %q; want a zerolog level such as debug, info, warn or error", flagLevel, c.String(flagLevel))
	}
	settings, err := platform.ReadSettings(c.String(flagSettings))
	if err != nil {
		return err
	}
	log := logs.New(logs.Config{Writer: writerOrStdout(c.Root().Writer), Clock: clockwork.NewRealClock(), Level: level})
	defer func() { _ = log.Close() }()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	return platform.Run(ctx, platform.Config{
		Settings: settings, Path: c.String(flagSettings), Hangup: hangups,
		Clock: clockwork.NewRealClock(), Log: log.Logger, Metrics: metrics.NewRegistry(),
		MetricsAddress: types.Address(net.JoinHostPort(settings.IP, c.String(flagMetrics))),
		ServesProfiles: c.Bool(flagProfiles),
	})
}

// writerOrStdout returns w, or the standard output if w is nil.
func writerOrStdout(w io.Writer) io.Writer {
	if w == nil {
		return os.Stdout
	}
	return w
}
