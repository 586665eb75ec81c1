package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
)

const (
	flagEntry = "entry"
	flagToken = "token"
	flagJSON  = "json"
	flagBy    = "by"

	defaultEntryURL = "http://127.0.0.1:7400"
	callTimeout     = 30 * time.Second
	maxAnswerBytes  = 64 << 20
)

// remoteFlags returns the flags that all commands that call a daemon share, followed by more.
func remoteFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: flagEntry, Sources: cli.EnvVars("MAGNOLIAWALK_ENTRIES"), Value: []string{defaultEntryURL},
			Usage: "URL of a daemon or of the load balancer; may be given more than once",
		},
		&cli.StringFlag{
			Name: flagToken, Sources: cli.EnvVars("MAGNOLIAWALK_TOKEN"), Usage: "bearer token",
		},
		&cli.BoolFlag{Name: flagJSON, Usage: "print the result as JSON"},
	}, more...)
}

// callDaemon calls the URLs that --entry lists in order until one of them can be reached, that is, until a call succeeds
// or fails with an error other than Unavailable. callTimeout bounds all calls together.
func callDaemon(ctx context.Context, c *cli.Command, method, path string, in, out any) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	for _, entryURL := range c.StringSlice(flagEntry) {
		remote := rest.Client{HTTP: http.DefaultClient, Base: entryURL, Limit: maxAnswerBytes, Token: c.String(flagToken)}
		_, err = remote.Do(callCtx, method, path, in, out)
		if !errs.Is(err, errs.Unavailable) {
			return err
		}
	}
	return err
}

// show prints a value as JSON if the flag --json is set, and else the result of the text function.
func show(c *cli.Command, value any, text func() string) error {
	if !c.Bool(flagJSON) {
		return printLine(c, text())
	}
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errs.New(errs.Internal, "encoding the result as JSON: %v", err)
	}
	return printLine(c, string(body))
}

func printLine(c *cli.Command, line string) error {
	if _, err := fmt.Fprintln(c.Root().Writer, line); err != nil {
		return errs.New(errs.Internal, "writing the output: %v", err)
	}
	return nil
}

// argument returns the positional argument at the index, or an error with its name and the usage if it is missing.
func argument(c *cli.Command, index int, name string) (string, error) {
	value := c.Args().Get(index)
	if value == "" {
		return "", errs.New(errs.Invalid, "missing argument %s; usage: %s", name, c.UsageText)
	}
	return value, nil
}
