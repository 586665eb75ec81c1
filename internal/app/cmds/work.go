package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/magnoliawalk/magnoliawalk/client"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
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

	pollInterval          = 500 * time.Millisecond
	defaultRequestTimeout = 10 * time.Second
)

func jobCommand() *cli.Command {
	return &cli.Command{
		Name:     "job",
		Usage:    "submit, query and cancel jobs",
		Commands: []*cli.Command{jobSubmit(), jobStatus(), jobCancel()},
	}
}

func jobSubmit() *cli.Command {
	return &cli.Command{
		Name:      "submit",
		Usage:     "submit work that the environment document defines, or a complete job from a file",
		UsageText: "magnoliawalk job submit WORK | magnoliawalk job submit --file JOB.json",
		Flags: remoteFlags(
			&cli.StringFlag{Name: flagID, Usage: "id of an earlier submission, to repeat it"},
			&cli.StringFlag{Name: flagFile, Usage: "file with a complete job as JSON"},
			&cli.StringFlag{Name: flagPayload, Usage: "payload of each task"},
			&cli.BoolFlag{Name: flagWait, Usage: "wait until the job has ended"}),
		Action: submitJob,
	}
}

func submitJob(ctx context.Context, c *cli.Command) error {
	apiClient, err := newClient(c)
	if err != nil {
		return err
	}
	status, err := submitFileOrWork(ctx, c, apiClient)
	if err != nil {
		return err
	}
	if c.Bool(flagWait) {
		return waitJob(ctx, c, apiClient, *status)
	}
	return showJob(c, *status)
}

// submitFileOrWork submits the job in the file that --file names or, without that flag, the work of the environment
// document that the argument names.
func submitFileOrWork(ctx context.Context, c *cli.Command, apiClient *client.Client) (*types.JobStatus, error) {
	id := types.JobID(c.String(flagID))
	if c.String(flagFile) == "" {
		work, err := argument(c, 0, "WORK")
		if err != nil {
			return nil, err
		}
		return apiClient.SubmitWork(ctx, work, id, c.String(flagPayload))
	}
	body, err := os.ReadFile(c.String(flagFile))
	if err != nil {
		return nil, errs.New(errs.Invalid, "reading the job file: %v", err)
	}
	var job types.Job
	if err := json.Unmarshal(body, &job); err != nil {
		return nil, errs.New(errs.Invalid, "the job file is not valid JSON: %v", err)
	}
	if id != "" {
		job.ID = id
	}
	return apiClient.Submit(ctx, &job)
}

// waitJob polls the job and prints its status at first and after each change, until the job has ended or ctx is done.
func waitJob(ctx context.Context, c *cli.Command, apiClient *client.Client, status types.JobStatus) error {
	clock := clockwork.NewRealClock()
	if err := showJob(c, status); err != nil {
		return err
	}
	for !status.State.Ended() {
		select {
		case <-clock.After(pollInterval):
		case <-ctx.Done():
			return nil
		}
		latest, err := apiClient.Job(ctx, status.ID)
		if err != nil {
			return err
		}
		if *latest == status {
			continue
		}
		status = *latest
		if err := showJob(c, status); err != nil {
			return err
		}
	}
	return nil
}

func jobStatus() *cli.Command {
	return jobIDCommand("status", "show the status of a job", (*client.Client).Job)
}

func jobCancel() *cli.Command {
	return jobIDCommand("cancel", "cancel a job", (*client.Client).Cancel)
}

// jobIDCommand returns a command that calls query with the job ID in its argument and prints the status.
func jobIDCommand(
	name, usage string, query func(*client.Client, context.Context, types.JobID) (*types.JobStatus, error),
) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, UsageText: "magnoliawalk job " + name + " ID",
		Flags: remoteFlags(),
		Action: withID(func(ctx context.Context, c *cli.Command, apiClient *client.Client, id string) error {
			status, err := query(apiClient, ctx, types.JobID(id))
			if err != nil {
				return err
			}
			return showJob(c, *status)
		}),
	}
}

// withID returns an action that calls run with a client and the ID in the command's argument.
func withID(run func(ctx context.Context, c *cli.Command, apiClient *client.Client, id string) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		id, err := argument(c, 0, "ID")
		if err != nil {
			return err
		}
		apiClient, err := newClient(c)
		if err != nil {
			return err
		}
		return run(ctx, c, apiClient, id)
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
		Usage:    "send requests and query their outcome",
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
			&cli.BoolFlag{Name: flagIdempotent, Usage: "the request may safely run more than once"},
			&cli.StringFlag{Name: flagID, Usage: "id of an earlier attempt, to send the request again"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultRequestTimeout, Usage: "how long to wait for the answer"}),
		Action: sendRequest,
	}
}

func sendRequest(ctx context.Context, c *cli.Command) error {
	apiClient, err := newClient(c)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	answer, err := apiClient.Do(callCtx, client.Request{
		ID:         types.RequestID(c.String(flagID)),
		Service:    types.ServiceName(c.String(flagService)),
		Team:       types.TeamID(c.String(flagTeam)),
		Class:      types.Class(c.String(flagClass)),
		Idempotent: c.Bool(flagIdempotent),
		Body:       []byte(c.Args().First()),
	})
	return showAnswer(c, answer, err)
}

func requestAsk() *cli.Command {
	return &cli.Command{
		Name:      "ask",
		Usage:     "query the outcome of a non-idempotent request",
		UsageText: "magnoliawalk request ask ID",
		Flags:     remoteFlags(),
		Action: withID(func(ctx context.Context, c *cli.Command, apiClient *client.Client, id string) error {
			answer, err := apiClient.Ask(ctx, types.RequestID(id))
			return showAnswer(c, answer, err)
		}),
	}
}

// showAnswer prints the answer, if there is one. It returns failure or, if that is nil, the reason in the answer.
func showAnswer(c *cli.Command, a *types.Answer, failure error) error {
	if a == nil {
		return failure
	}
	if failure == nil && a.Reason != nil {
		failure = a.Reason
	}
	if err := show(c, a, func() string { return fmt.Sprintf("%s %s: %s", a.ID, a.Outcome, a.Body) }); err != nil {
		return err
	}
	return failure
}

func newClient(c *cli.Command) (*client.Client, error) {
	return client.New(client.Config{Entries: c.StringSlice(flagEntry), Token: c.String(flagToken)})
}
