package local

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/serve/httpd"
)

const (
	testTimeout      = 30 * time.Second
	testPollInterval = 50 * time.Millisecond
)

// clusterFixture is a development cluster with helpers that call it and fail the test on an error.
type clusterFixture struct {
	t   *testing.T
	dev *Dev
}

func startDevCluster(t *testing.T) *clusterFixture {
	t.Helper()
	dev, err := StartDev(context.Background(), "127.0.0.1:0", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return &clusterFixture{t: t, dev: dev}
}

func (c *clusterFixture) client(entry int) *rest.Client {
	return &rest.Client{
		HTTP: http.DefaultClient, Base: c.dev.URLs[entry], Limit: 1 << 20, Token: c.dev.Cluster.CallerToken.Reveal(),
	}
}

func (c *clusterFixture) call(entry int, method, path string, in, out any) error {
	_, err := c.client(entry).Do(context.Background(), method, path, in, out)
	return err
}

func (c *clusterFixture) mintID(entry int) string {
	c.t.Helper()
	var minted httpd.Minted
	c.wantOK(c.call(entry, http.MethodPost, "/v1/ids", nil, &minted))
	return minted.ID
}

func (c *clusterFixture) wantOK(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// wantAnswer sends a request to one entry and checks that its complete answer, with the id and body of the request,
// arrives.
func (c *clusterFixture) wantAnswer(entry int, id string, idempotent bool, body string) {
	c.t.Helper()
	request := types.Request{
		ID: types.RequestID(id), Service: "booking-desk", Team: "bookings", Class: types.ClassUrgent,
		Idempotent: idempotent, Body: []byte(body),
	}
	var a types.Answer
	c.wantOK(c.call(entry, http.MethodPost, "/v1/requests", &request, &a))
	c.wantOK(a.Check())
	if a.Outcome != types.OutcomeDone || !bytes.Equal(a.Body, []byte(body)) || string(a.ID) != id {
		c.t.Fatalf("unexpected answer %+v", a)
	}
}

// wantJob waits until a job has the state, and fails the test after testTimeout.
func (c *clusterFixture) wantJob(entry int, id string, want types.JobState) types.JobStatus {
	c.t.Helper()
	var status types.JobStatus
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(testPollInterval) {
		c.wantOK(c.call(entry, http.MethodGet, "/v1/jobs/"+id, nil, &status))
		if status.State == want {
			return status
		}
	}
	c.t.Fatalf("job is %+v, want state %s", status, want)
	return status
}

func TestWholePath(t *testing.T) {
	c := startDevCluster(t)
	t.Run("RequestsAtEachEntry", func(t *testing.T) {
		for entry := range c.dev.URLs {
			c.wantAnswer(entry, c.mintID(entry), true, "idempotent")
			c.wantAnswer(entry, c.mintID(entry), false, "not idempotent")
		}
	})
	t.Run("SameIDRunsOnce", func(t *testing.T) {
		id := c.mintID(0)
		for entry := range c.dev.URLs {
			c.wantAnswer(entry, id, false, "refund")
		}
		if n := c.runCount(id); n != 1 {
			t.Fatalf("the request ran %d times, want once", n)
		}
	})
	t.Run("BatchAndGangRunToTheEnd", func(t *testing.T) {
		for _, work := range []string{"contract-bundles", "weekend-rosters"} {
			id := c.mintID(1)
			var status types.JobStatus
			c.wantOK(c.call(1, http.MethodPut, "/v1/templates/"+work+"/"+id, httpd.TemplateArgs{}, &status))
			done := c.wantJob(2, id, types.JobDone)
			if done.Done != done.Tasks {
				t.Fatalf("not all tasks are done: %+v", done)
			}
		}
	})
	t.Run("RefusalsChangeNothing", func(t *testing.T) { testRejectedJobs(t, c) })
	t.Run("DrainEndsCleanly", func(t *testing.T) { c.wantOK(c.dev.Cluster.Close()) })
}

// runCount returns how often runners ran the request.
func (c *clusterFixture) runCount(id string) int {
	n := 0
	for _, e := range c.dev.Cluster.Platform.Runners.Record() {
		if string(e.ID) == id {
			n++
		}
	}
	return n
}

// testRejectedJobs checks that a job that cannot be accepted is rejected with the right kind of error and is not
// stored.
func testRejectedJobs(t *testing.T, c *clusterFixture) {
	id := c.mintID(0)
	job := types.Job{
		Name: "huge", Team: "contracts", Class: types.ClassNormal, Batch: &types.Batch{Count: 1},
		Task: types.TaskSpec{Resources: types.Resources{Cores: 1000 * types.Core, Memory: types.GiB}},
	}
	urgent := job
	urgent.Class = types.ClassUrgent
	unknownTeam := job
	unknownTeam.Team = "nobody"
	cases := []struct {
		name string
		path string
		in   any
		want errs.Kind
	}{
		{"NeverFits", "/v1/jobs/", &job, errs.Impossible},
		{"TooUrgent", "/v1/jobs/", &urgent, errs.Denied},
		{"UnknownTeam", "/v1/jobs/", &unknownTeam, errs.Denied},
		{"UnknownWork", "/v1/templates/nope/", httpd.TemplateArgs{}, errs.NotFound},
		{"Empty", "/v1/jobs/", map[string]int{}, errs.Invalid},
		{"UnknownField", "/v1/jobs/", map[string]int{"Nope": 1}, errs.Invalid},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			err := c.call(0, http.MethodPut, tt.path+id, tt.in, &types.JobStatus{})
			if !errs.Is(err, tt.want) {
				t.Fatalf("got %v, want kind %s", err, tt.want)
			}
			if err := c.call(0, http.MethodGet, "/v1/jobs/"+id, nil, &types.JobStatus{}); !errs.Is(err, errs.NotFound) {
				t.Fatalf("the rejected job is known: %v", err)
			}
		})
	}
}

func TestWrongTokenIsDenied(t *testing.T) {
	c := startDevCluster(t)
	defer func() { c.wantOK(c.dev.Cluster.Close()) }()
	for _, token := range []string{"", "wrong-wrong-wrong-wrong"} {
		client := c.client(0)
		client.Token = token
		_, err := client.Post(context.Background(), "/v1/ids", nil, &httpd.Minted{})
		if !errs.Is(err, errs.Denied) {
			t.Fatalf("got error %v, want kind Denied", err)
		}
	}
	_, err := c.client(0).Do(context.Background(), http.MethodGet, httpd.PathStatus, nil, &struct{}{})
	if !errs.Is(err, errs.Denied) {
		t.Fatalf("the status with a caller's token: got error %v, want kind Denied", err)
	}
}
