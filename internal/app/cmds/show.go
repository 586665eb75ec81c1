package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/spread"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/ops/report"
	"github.com/magnoliawalk/magnoliawalk/internal/serve/httpd"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show an overview of the fleet",
		Flags: remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			var fleet report.Fleet
			if err := callDaemon(ctx, c, http.MethodGet, httpd.PathStatus, nil, &fleet); err != nil {
				return err
			}
			return show(c, fleet, func() string { return renderText(fleet.WriteText) })
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what happened to a job, task, request or worker, and why",
		UsageText: "magnoliawalk explain ID",
		Flags:     remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			subject, err := argument(c, 0, "ID")
			if err != nil {
				return err
			}
			var history report.Explanation
			query := httpd.ExplainQuery{Subject: subject}
			if err := callDaemon(ctx, c, http.MethodPost, httpd.PathExplain, query, &history); err != nil {
				return err
			}
			return show(c, history, func() string { return renderText(history.WriteText) })
		},
	}
}

func envStatus() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show which revision each VM has in force",
		Flags: remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			var out []spread.Standing
			if err := callDaemon(ctx, c, http.MethodGet, httpd.PathEnvStatus, nil, &out); err != nil {
				return err
			}
			return show(c, out, func() string { return standingText(out) })
		},
	}
}

func standingText(standings []spread.Standing) string {
	lines := make([]string, 0, len(standings))
	for _, s := range standings {
		line := fmt.Sprintf("%-16s %-16s", s.VM, s.DataCentre)
		if s.Reached {
			line += fmt.Sprintf(" revision %d, confirmed %s ago", s.Revision, s.Age)
		} else {
			line += " not reached"
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

func changesText(revision types.Revision, changes []envdoc.Change) string {
	if len(changes) == 0 {
		return fmt.Sprintf("no change against revision %d", revision)
	}
	lines := []string{fmt.Sprintf("against revision %d:", revision)}
	for _, change := range changes {
		lines = append(lines, "  "+change.String())
	}
	return strings.Join(lines, "\n")
}

// renderText returns the text that write produces, without trailing newlines, or the text of its error.
func renderText(write func(io.Writer) error) string {
	var b strings.Builder
	if err := write(&b); err != nil {
		return errs.Of(err).Error()
	}
	return strings.TrimRight(b.String(), "\n")
}
