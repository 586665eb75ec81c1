// Package cmds implements the command-line interface: the daemon, the stand-ins of the platform, the operators' and
// callers' commands, and the benchmarks.
package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Version is the version of the program.
const Version = "0.1.0"

// Run executes the command that args name (args[0] is the program) and returns the exit code. An error is printed to
// stderr, and its kind determines the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           "magnoliawalk",
		Usage:          "schedule services, batch jobs and gang jobs",
		Version:        Version,
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serveCommand(), platformCommand(), devCommand(), standinCommand(),
			envCommand(), jobCommand(), requestCommand(),
			statusCommand(), explainCommand(), benchCommand(), versionCommand(),
		},
	}
	setUsageErrors(root)
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	typed := errs.Of(err)
	if _, printErr := fmt.Fprintln(stderr, "error:", typed.Error()); printErr != nil {
		return errs.ExitInternal
	}
	return errs.AnswerOf(typed.Kind).Exit
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, Version)
			return err
		},
	}
}

// setUsageErrors makes a command and all its subcommands report wrong flags as errors of kind Invalid.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return errs.New(errs.Invalid, "%v", err)
	}
	for _, sub := range c.Commands {
		setUsageErrors(sub)
	}
}
