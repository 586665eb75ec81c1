package cmds

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/serve/httpd"
)

const (
	flagEnvironment = "environment"
	flagExpect      = "expect"
	flagDigest      = "expect-digest"
	flagFrom        = "from"
	flagTo          = "to"
	flagLimit       = "limit"

	trialName           = "trial"
	productionName      = "production"
	defaultHistoryLimit = 20
)

func envCommand() *cli.Command {
	return &cli.Command{
		Name:  "env",
		Usage: "check, compare, replace and promote environment documents",
		Commands: []*cli.Command{
			envCheck(), envDiff(), envPut(), envPromote(), envStatus(), envHistory(), envShow(),
		},
	}
}

func environmentFlag(value string) cli.Flag {
	return &cli.StringFlag{Name: flagEnvironment, Value: value, Usage: "name of the environment"}
}

func byFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagBy, Sources: cli.EnvVars("MAGNOLIAWALK_BY", "USER"), Usage: "name of the operator, for the audit trail",
	}
}

func envCheck() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a document without sending it",
		UsageText: "magnoliawalk env check FILE",
		Action: func(_ context.Context, c *cli.Command) error {
			doc, _, err := readDocument(c)
			if err != nil {
				return err
			}
			return printLine(c, documentSummary(doc))
		},
	}
}

func envDiff() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what a document would change",
		UsageText: "magnoliawalk env diff FILE",
		Flags:     remoteFlags(environmentFlag(productionName)),
		Action: func(ctx context.Context, c *cli.Command) error {
			doc, _, err := readDocument(c)
			if err != nil {
				return err
			}
			accepted, err := fetchDocument(ctx, c, envdoc.Name(c.String(flagEnvironment)))
			if err != nil {
				return err
			}
			old := &envdoc.Document{}
			if accepted.Revision > 0 {
				if old, err = envdoc.Parse(accepted.Body); err != nil {
					return err
				}
			}
			changes := envdoc.Compare(old, doc)
			return show(c, changes, func() string { return changesText(accepted.Revision, changes) })
		},
	}
}

func envPut() *cli.Command {
	return &cli.Command{
		Name:      "put",
		Usage:     "replace the document of an environment",
		UsageText: "magnoliawalk env put --expect REVISION FILE",
		Flags: remoteFlags(environmentFlag(trialName), byFlag(),
			&cli.Uint64Flag{Name: flagExpect, Usage: "revision that the document replaces; 0 for the first document"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			_, body, err := readDocument(c)
			if err != nil {
				return err
			}
			put := httpd.EnvPut{
				Environment: envdoc.Name(c.String(flagEnvironment)),
				Expect:      types.Revision(c.Uint64(flagExpect)),
				Body:        body,
				By:          c.String(flagBy),
			}
			var out edit.Accepted
			if err := callDaemon(ctx, c, http.MethodPost, httpd.PathEnvPut, put, &out); err != nil {
				return err
			}
			return showAccepted(c, out)
		},
	}
}

func envPromote() *cli.Command {
	return &cli.Command{
		Name:      "promote",
		Usage:     "promote the exact document of one environment to another",
		UsageText: "magnoliawalk env promote --expect-digest DIGEST --expect REVISION",
		Flags: remoteFlags(byFlag(),
			&cli.StringFlag{Name: flagFrom, Value: trialName, Usage: "environment in which the document was tested"},
			&cli.StringFlag{Name: flagTo, Value: productionName, Usage: "environment that receives the document"},
			&cli.Uint64Flag{Name: flagDigest, Usage: "digest of the document that was tested"},
			&cli.Uint64Flag{Name: flagExpect, Usage: "revision that is replaced in the target; 0 for the first document"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			promote := httpd.EnvPromote{
				From:         envdoc.Name(c.String(flagFrom)),
				To:           envdoc.Name(c.String(flagTo)),
				ExpectDigest: types.Digest(c.Uint64(flagDigest)),
				Expect:       types.Revision(c.Uint64(flagExpect)),
				By:           c.String(flagBy),
			}
			var out edit.Accepted
			if err := callDaemon(ctx, c, http.MethodPost, httpd.PathEnvPromote, promote, &out); err != nil {
				return err
			}
			return showAccepted(c, out)
		},
	}
}

func envHistory() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the accepted documents of an environment, newest first",
		Flags: remoteFlags(environmentFlag(productionName),
			&cli.IntFlag{Name: flagLimit, Value: defaultHistoryLimit, Usage: "maximum number of documents, 1 to 100"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			query := httpd.EnvQuery{Environment: envdoc.Name(c.String(flagEnvironment)), Limit: c.Int(flagLimit)}
			var out []edit.Accepted
			if err := callDaemon(ctx, c, http.MethodPost, httpd.PathEnvHistory, query, &out); err != nil {
				return err
			}
			return show(c, out, func() string { return historyText(out) })
		},
	}
}

func envShow() *cli.Command {
	return &cli.Command{
		Name:  "show",
		Usage: "print the accepted document of an environment",
		Flags: remoteFlags(environmentFlag(productionName)),
		Action: func(ctx context.Context, c *cli.Command) error {
			accepted, err := fetchDocument(ctx, c, envdoc.Name(c.String(flagEnvironment)))
			if err != nil {
				return err
			}
			return show(c, accepted, func() string { return string(accepted.Body) })
		},
	}
}

// fetchDocument returns the accepted document of an environment.
func fetchDocument(ctx context.Context, c *cli.Command, env envdoc.Name) (edit.Accepted, error) {
	var out edit.Accepted
	err := callDaemon(ctx, c, http.MethodPost, httpd.PathEnvGet, httpd.EnvQuery{Environment: env}, &out)
	return out, err
}

// readDocument reads and parses the file that the first argument names. It also returns the unparsed content.
func readDocument(c *cli.Command) (*envdoc.Document, []byte, error) {
	name, err := argument(c, 0, "FILE")
	if err != nil {
		return nil, nil, err
	}
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, errs.New(errs.Invalid, "reading the document: %v", err)
	}
	doc, err := envdoc.Parse(body)
	return doc, body, err
}

func showAccepted(c *cli.Command, a edit.Accepted) error {
	return show(c, a, func() string {
		return fmt.Sprintf("%s is at revision %d, digest %d", a.Environment, a.Revision, a.Digest)
	})
}

func documentSummary(d *envdoc.Document) string {
	return fmt.Sprintf("the document is valid: %d teams, %d services, %d kinds of batch work, %d kinds of gangs",
		len(d.Teams), len(d.Services), len(d.Batch), len(d.Gangs))
}

func historyText(records []edit.Accepted) string {
	lines := make([]string, 0, len(records))
	for _, a := range records {
		line := fmt.Sprintf("%d  %s  by %s  digest %d", a.Revision, a.At.Format("2006-01-02 15:04:05Z07:00"), a.By, a.Digest)
		if a.From != "" {
			line += "  promoted from " + string(a.From)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}
