package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/internal/app/config"
	"github.com/magnoliawalk/magnoliawalk/internal/app/local"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/daemon"
)

const (
	flagCallersAddress = "callers-address"
	flagStoreAddress   = "store-address"
	flagVMListAddress  = "vm-list-address"
	flagEntryVM        = "entry-vm"
	flagWorkers        = "workers"
	flagListLag        = "lag"
	flagLevel          = "log-level"

	entryVMParts                = 4
	defaultWorkersPerDataCentre = 4
	// The help text of --workers states this bound, too.
	maxWorkersPerDataCentre = 100
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the daemon of one entry VM",
		Flags: config.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := config.From(c)
			if err != nil {
				return err
			}
			d, err := daemon.New(daemon.Config{
				Settings: settings, Clock: clockwork.NewRealClock(), Log: newLog(c.Root().ErrWriter, settings.LogLevel),
			})
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
}

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a development cluster: three daemons and stand-ins of the platform in one process",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagCallersAddress, Value: config.DefaultCallers, Usage: "address and port of the first daemon for callers"},
			&cli.StringFlag{Name: flagLevel, Value: zerolog.LevelErrorValue, Usage: "debug, info, warn or error"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, c *cli.Command) error {
	level, err := zerolog.ParseLevel(c.String(flagLevel))
	if err != nil {
		return errs.New(errs.Invalid, "setting --%s is %q; want a zerolog level such as debug, info, warn or error", flagLevel, c.String(flagLevel))
	}
	dev, err := local.StartDev(ctx, types.Address(c.String(flagCallersAddress)), newLog(c.Root().ErrWriter, level))
	if err != nil {
		return err
	}
	if err := printLine(c, devText(dev, os.Args[0])); err != nil {
		return err
	}
	<-ctx.Done()
	if err := printLine(c, "draining"); err != nil {
		return err
	}
	return dev.Cluster.Close()
}

// devText returns instructions for calling the development cluster with the given program.
func devText(dev *local.Dev, program string) string {
	callerToken, operatorToken := dev.Cluster.CallerToken.Reveal(), dev.Cluster.OperatorToken.Reveal()
	lines := []string{
		"The cell is ready: " + strings.Join(dev.URLs, " "),
		"",
		"In another shell:",
		"  export MAGNOLIAWALK_ENTRIES=" + strings.Join(dev.URLs, ","),
		"  export MAGNOLIAWALK_TOKEN=" + operatorToken,
		"  " + program + " request send --service booking-desk --team bookings hello",
		"  " + program + " job submit --wait contract-bundles",
		"  " + program + " status",
		"",
		"Callers use the token " + callerToken,
		"Ctrl-C drains and ends.",
	}
	return strings.Join(lines, "\n")
}

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "serve stand-ins of the platform on loopback for separate daemons",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagStoreAddress, Value: "127.0.0.1:7500", Usage: "address and port of the store"},
			&cli.StringFlag{Name: flagVMListAddress, Value: "127.0.0.1:7501", Usage: "address and port of the list of VMs"},
			&cli.StringSliceFlag{
				Name: flagEntryVM, Usage: "entry VM to list, as ID/REGION/DATA-CENTRE/PEERS-ADDRESS; may be given more than once",
			},
			&cli.IntFlag{Name: flagWorkers, Value: defaultWorkersPerDataCentre, Usage: "number of workers in each data centre, 1 to 100"},
			&cli.DurationFlag{Name: flagListLag, Value: 2 * time.Second, Usage: "delay after which the list of VMs shows changes"},
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, c *cli.Command) error {
	workers := c.Int(flagWorkers)
	if workers < 1 || workers > maxWorkersPerDataCentre {
		return errs.New(errs.Invalid, "setting --%s is %d; allowed: 1 to %d workers in each data centre", flagWorkers, workers, maxWorkersPerDataCentre)
	}
	layout := local.DefaultLayout(workers)
	layout.StoreAddress = types.Address(c.String(flagStoreAddress))
	layout.ListAddress = types.Address(c.String(flagVMListAddress))
	layout.ListLag = c.Duration(flagListLag)
	platform, err := local.StartPlatform(clockwork.NewRealClock(), layout)
	if err != nil {
		return err
	}
	defer platform.Close()
	for _, value := range c.StringSlice(flagEntryVM) {
		if err := addEntryVM(platform, value); err != nil {
			return err
		}
	}
	line := fmt.Sprintf("store %s\nlist of VMs %s\nstore region %s", platform.StoreURL, platform.ListURL, layout.StoreRegion)
	if err := printLine(c, line); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// addEntryVM lists an entry VM that is given as ID/REGION/DATA-CENTRE/PEERS-ADDRESS. The parts themselves are not
// checked.
func addEntryVM(platform *local.Platform, value string) error {
	parts := strings.Split(value, "/")
	if len(parts) != entryVMParts {
		return errs.New(errs.Invalid, "setting --%s is %q; want four parts, separated by slashes: ID/REGION/DATA-CENTRE/PEERS-ADDRESS", flagEntryVM, value)
	}
	site := types.Site{Region: types.Region(parts[1]), DataCentre: types.DataCentre(parts[2])}
	platform.AddEntry(types.VMID(parts[0]), site, types.Address(parts[3]))
	return nil
}

// newLog returns a logger that writes to w, or to the standard error if w is nil.
func newLog(w io.Writer, level zerolog.Level) zerolog.Logger {
	if w == nil {
		w = os.Stderr
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}
