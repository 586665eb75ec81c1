package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/serve/httpd"
)

const (
	flagService    = "service"
	flagTeam       = "team"
	flagClass      = "class"
	flagIdempotent = "idempotent"
	flagID         = "id"
	flagWait       = "wait"
	flagFile       = "file"
	flagPayload    = "payload"
	flagTimeout    = "timeout"

	pathIDs      = "/v1/ids"
	pathRequests = "/v1/requests"
	pathJobs     = "/v1/jobs/"

	pollEvery      = 500 * time.Millisecond
	requestTimeout = 10 * time.Second
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:     "job",
		Usage:    "submit jobs and ask about them",
		Commands: []*cli.Command{jobSubmit(), jobStatus(), jobCancel()},
	}
}

func jobSubmit() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit work that the document names, or a whole job from a file",
		UsageText: "magnoliawalk job submit WORK | magnoliawalk job submit --file JOB.json",
		Flags: remoteFlags(
			&cli.StringFlag{Name: flagID, Usage: "id of an earlier try, to submit it again"},
			&cli.StringFlag{Name: flagFile, Usage: "file with a whole job as JSON"},
			&cli.StringFlag{Name: flagPayload, Usage: "payload for each task"},
			&cli.BoolFlag{Name: flagWait, Usage: "wait for the end of the job"}),
		Action: submitJob,
	}
}

func submitJob(ctx context.Context, c *cli.Command) error {
	submission, err := readSubmission(c)
	if err != nil {
		return err
	}
	id, err := idFor(ctx, c)
	if err != nil {
		return err
	}
	var status types.JobStatus
	if err := call(ctx, c, http.MethodPut, pathJobs+id, submission, &status); err != nil {
		return errs.New(errs.Of(err).Kind, "%s (submit again with --id %s)", errs.Of(err).Message, id)
	}
	if c.Bool(flagWait) {
		return waitJob(ctx, c, status)
	}
	return showJob(c, status)
}

func readSubmission(c *cli.Command) (httpd.Submission, error) {
	if c.String(flagFile) == "" {
		work, err := argument(c, 0, "WORK")
		return httpd.Submission{Work: work, Payload: c.String(flagPayload)}, err
	}
	body, err := os.ReadFile(c.String(flagFile))
	if err != nil {
		return httpd.Submission{}, errs.New(errs.Invalid, "reading the job: %v", err)
	}
	var job types.Job
	if err := json.Unmarshal(body, &job); err != nil {
		return httpd.Submission{}, errs.New(errs.Invalid, "the job is not valid JSON: %v", err)
	}
	return httpd.Submission{Job: &job}, nil
}

// idFor returns the id that the user gave, or a new one.
func idFor(ctx context.Context, c *cli.Command) (string, error) {
	if id := c.String(flagID); id != "" {
		return id, nil
	}
	var minted httpd.Minted
	err := call(ctx, c, http.MethodPost, pathIDs, nil, &minted)
	return minted.ID, err
}

// waitJob prints the job whenever it changes until it has ended.
func waitJob(ctx context.Context, c *cli.Command, status types.JobStatus) error {
	clock := clockwork.NewRealClock()
	if err := showJob(c, status); err != nil {
		return err
	}
	for last := status; !status.State.Ended(); last = status {
		select {
		case <-clock.After(pollEvery):
		case <-ctx.Done():
			return nil
		}
		if err := call(ctx, c, http.MethodGet, pathJobs+string(status.ID), nil, &status); err != nil {
			return err
		}
		if status == last {
			continue
		}
		if err := showJob(c, status); err != nil {
			return err
		}
	}
	return nil
}

func jobStatus() *cli.Command {
	return jobQuery("status", "tell how a job stands", http.MethodGet)
}

func jobCancel() *cli.Command {
	return jobQuery("cancel", "cancel a job", http.MethodDelete)
}

func jobQuery(name, usage, method string) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, UsageText: "magnoliawalk job " + name + " ID",
		Flags: remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			id, err := argument(c, 0, "ID")
			if err != nil {
				return err
			}
			var status types.JobStatus
			if err := call(ctx, c, method, pathJobs+id, nil, &status); err != nil {
				return err
			}
			return showJob(c, status)
		},
	}
}

func showJob(c *cli.Command, s types.JobStatus) error {
	return show(c, s, func() string {
		line := fmt.Sprintf("%s %s: %d tasks, %d running, %d done, %d failed, %d unknown",
			s.ID, s.State, s.Tasks, s.Running, s.Done, s.Failed, s.Unknown)
		if s.Reason != "" {
			line += ": " + s.Reason
		}
		return line
	})
}

func requestCommand() *cli.Command {
	return &cli.Command{
		Name:     "request",
		Usage:    "send requests and ask what became of them",
		Commands: []*cli.Command{requestSend(), requestAsk()},
	}
}

func requestSend() *cli.Command {
	return &cli.Command{
		Name:      "send",
		Usage:     "send one request to a service",
		UsageText: "magnoliawalk request send --service NAME --team NAME BODY",
		Flags: remoteFlags(
			&cli.StringFlag{Name: flagService, Required: true, Usage: "name of the service"},
			&cli.StringFlag{Name: flagTeam, Required: true, Usage: "name of the team"},
			&cli.StringFlag{Name: flagClass, Value: string(types.ClassNormal), Usage: "Urgent, Normal or Batch"},
			&cli.BoolFlag{Name: flagIdempotent, Usage: "running the request twice does no harm"},
			&cli.StringFlag{Name: flagID, Usage: "id of an earlier try, to send it again"},
			&cli.DurationFlag{Name: flagTimeout, Value: requestTimeout, Usage: "how long to wait"}),
		Action: sendRequest,
	}
}

func sendRequest(ctx context.Context, c *cli.Command) error {
	id, err := idFor(ctx, c)
	if err != nil {
		return err
	}
	request := types.Request{
		ID:         types.RequestID(id),
		Service:    types.ServiceName(c.String(flagService)),
		Team:       types.TeamID(c.String(flagTeam)),
		Class:      types.Class(c.String(flagClass)),
		Idempotent: c.Bool(flagIdempotent),
		Deadline:   clockwork.NewRealClock().Now().Add(c.Duration(flagTimeout)),
		Body:       []byte(c.Args().First()),
	}
	return showAnswer(ctx, c, http.MethodPost, pathRequests, &request)
}

func requestAsk() *cli.Command {
	return &cli.Command{
		Name:      "ask",
		Usage:     "ask what became of a non-idempotent request",
		UsageText: "magnoliawalk request ask ID",
		Flags:     remoteFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			id, err := argument(c, 0, "ID")
			if err != nil {
				return err
			}
			return showAnswer(ctx, c, http.MethodGet, pathRequests+"/"+id, nil)
		},
	}
}

func showAnswer(ctx context.Context, c *cli.Command, method, path string, in any) error {
	var a types.Answer
	if err := call(ctx, c, method, path, in, &a); err != nil {
		return err
	}
	if err := a.Check(); err != nil {
		return err
	}
	return show(c, a, func() string { return fmt.Sprintf("%s %s: %s", a.ID, a.Outcome, a.Body) })
}
