package httpd

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/guard"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const (
	callerToken   = "caller-caller-caller"
	operatorToken = "operator-operator-operator"
	goodID        = "carthage.1.abc"
	goodRequest   = `{"ID":"carthage.1.abc","Service":"desk","Team":"bookings","Class":"Urgent"}`
	goodJob       = `{"Name":"n","Team":"bookings","Class":"Normal","Batch":{"Count":1},` +
		`"Task":{"Resources":{"Cores":1000,"Memory":1024}}}`
)

// recorder implements Jobs and Requests, and counts the calls that submit a job or run a request.
type recorder struct {
	calls  int
	answer *types.Answer
	job    types.Job
}

func (r *recorder) Mint() (types.RequestID, error) { return goodID, nil }

func (r *recorder) Do(_ context.Context, q *types.Request) *types.Answer {
	r.calls++
	if r.answer != nil {
		return r.answer
	}
	return types.NewDoneAnswer(q.ID, q.Body)
}

func (r *recorder) Ask(_ context.Context, id types.RequestID) *types.Answer {
	return types.NewDoneAnswer(id, nil)
}

func (r *recorder) Close(_ context.Context, id types.RequestID) *types.Answer {
	return types.NewUnfinishedAnswer(id, types.OutcomeNotRun, errs.New(errs.Conflict, "closed"))
}

func (r *recorder) Submit(_ context.Context, job types.Job) (types.JobStatus, error) {
	r.calls++
	r.job = job
	return types.JobStatus{ID: job.ID, State: types.JobQueued}, nil
}

func (r *recorder) Cancel(_ context.Context, id types.JobID) (types.JobStatus, error) {
	return types.JobStatus{ID: id}, nil
}

func (r *recorder) Status(_ context.Context, id types.JobID) (types.JobStatus, error) {
	return types.JobStatus{}, errs.After(errs.Unavailable, 1500*time.Millisecond, "%s: no leader", id)
}

func testDocument() *envdoc.Document {
	doc := envdoc.Default()
	doc.Teams = []envdoc.Team{{Name: "bookings", MaxClass: types.ClassUrgent}}
	doc.Batch = []envdoc.WorkEntry{{
		Name: "nightly", Team: "bookings", Class: types.ClassBatch, Count: 2, Within: time.Hour,
		Task: types.TaskSpec{Resources: types.Resources{Cores: types.Core, Memory: types.GiB}},
	}}
	return &doc
}

func newServer(t testing.TB, doc *envdoc.Document) (*Server, *recorder) {
	t.Helper()
	access, err := guard.New(guard.Config{
		CallerTokens: guard.ParseSecrets(callerToken), OperatorTokens: guard.ParseSecrets(operatorToken),
	})
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{}
	return New(Config{
		Jobs: r, Requests: r, Guard: access, Metrics: metrics.NewRegistry(),
		Documents: func() (*envdoc.Document, types.Revision) { return doc, 7 },
		Now:       func() time.Time { return time.Unix(1000, 0) },
	}), r
}

// send passes a call to the server's handler and returns the recorded answer.
func send(s *Server, token, method, path, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	s.routes().ServeHTTP(w, req)
	return w
}

// wantKind checks that the answer is an error of the kind, with the HTTP status of that kind.
func wantKind(t *testing.T, w *httptest.ResponseRecorder, kind errs.Kind) {
	t.Helper()
	got := errs.Of(rest.DecodeError(w.Code, w.Body.Bytes())).Kind
	if got != kind || w.Code != errs.AnswerOf(kind).Status {
		t.Fatalf("status %d, kind %s, want %s: %s", w.Code, got, kind, w.Body)
	}
}

func TestMalformedBodyIsRefusedAndReachesNobody(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		want                     errs.Kind
	}{
		{"NotJSON", http.MethodPost, "/v1/requests", `{`, errs.Invalid},
		{"Trailing", http.MethodPost, "/v1/requests", goodRequest + `{}`, errs.Invalid},
		{"UnknownField", http.MethodPost, "/v1/requests", `{"Nope":1}`, errs.Invalid},
		{"WrongID", http.MethodPost, "/v1/requests", strings.Replace(goodRequest, ".1.", ".x.", 1), errs.Invalid},
		{"WrongClass", http.MethodPost, "/v1/requests", strings.Replace(goodRequest, "Urgent", "Vip", 1), errs.Invalid},
		{"NoTeam", http.MethodPost, "/v1/requests", strings.Replace(goodRequest, "bookings", "", 1), errs.Invalid},
		{"FarDeadline", http.MethodPost, "/v1/requests", strings.Replace(goodRequest, "{", `{"Deadline":"2099-01-01T00:00:00Z",`, 1), errs.Invalid},
		{"TooLarge", http.MethodPost, "/v1/requests", `{"Body":"` + strings.Repeat("A", 2*bodyLimit) + `"}`, errs.TooLarge},
		{"JobWithoutWorkload", http.MethodPut, "/v1/jobs/" + goodID, strings.Replace(goodJob, `"Batch":{"Count":1},`, "", 1), errs.Invalid},
		{"JobWithoutTasks", http.MethodPut, "/v1/jobs/" + goodID, strings.Replace(goodJob, `"Count":1`, `"Count":0`, 1), errs.Invalid},
		{"JobOfNegativeSize", http.MethodPut, "/v1/jobs/" + goodID, strings.Replace(goodJob, "1024", "-1", 1), errs.Invalid},
		{"JobIDWithoutHome", http.MethodPut, "/v1/jobs/x", goodJob, errs.Invalid},
		{"JobOfUnknownTeam", http.MethodPut, "/v1/jobs/" + goodID, strings.Replace(goodJob, "bookings", "x", 1), errs.Denied},
		{"UnknownWork", http.MethodPut, "/v1/templates/x/" + goodID, `{}`, errs.NotFound},
		{"LargePayload", http.MethodPut, "/v1/templates/nightly/" + goodID, `{"Payload":"` + strings.Repeat("A", types.MaxPayload+1) + `"}`, errs.TooLarge},
		{"AskWithWrongID", http.MethodGet, "/v1/requests/x", "", errs.Invalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, r := newServer(t, testDocument())
			wantKind(t, send(s, callerToken, c.method, c.path, c.body), c.want)
			if r.calls != 0 {
				t.Fatal("the call was not rejected before it reached Jobs or Requests")
			}
		})
	}
}

func TestWorkByNameBecomesAJobOfTheRevisionInForce(t *testing.T) {
	s, r := newServer(t, testDocument())
	w := send(s, callerToken, http.MethodPut, "/v1/templates/nightly/"+goodID, `{"Payload":"p"}`)
	if w.Code != http.StatusOK || r.job.ID != goodID || r.job.Revision != 7 || r.job.Task.Payload != "p" {
		t.Fatalf("status %d, job %+v", w.Code, r.job)
	}
	if want := time.Unix(1000, 0).Add(time.Hour); !r.job.Batch.Deadline.Equal(want) {
		t.Fatalf("deadline %s, want %s", r.job.Batch.Deadline, want)
	}
}

func TestNothingIsAdmittedBeforeADocumentIsInForce(t *testing.T) {
	s, _ := newServer(t, nil)
	wantKind(t, send(s, callerToken, http.MethodPut, "/v1/jobs/"+goodID, goodJob), errs.Unavailable)
}

func TestAnswerCarriesTheStatusOfItsReason(t *testing.T) {
	s, r := newServer(t, testDocument())
	r.answer = types.NewUnfinishedAnswer(goodID, types.OutcomeNotRun, errs.After(errs.Overloaded, 1200*time.Millisecond, "full"))
	w := send(s, callerToken, http.MethodPost, "/v1/requests", goodRequest)
	if w.Code != http.StatusTooManyRequests || w.Header().Get(headerRetryAfter) != "2" {
		t.Fatalf("status %d, Retry-After %q", w.Code, w.Header().Get(headerRetryAfter))
	}
	r.answer = types.NewDoneAnswer(goodID, nil)
	r.answer.Reason = &errs.Error{Kind: errs.TooLarge}
	if w := send(s, callerToken, http.MethodPost, "/v1/requests", goodRequest); w.Code != http.StatusOK {
		t.Fatalf("a request that was done has status %d, want 200", w.Code)
	}
}

func TestRolesAreKeptApart(t *testing.T) {
	s, _ := newServer(t, testDocument())
	cases := []struct {
		name, token, path string
		want              int
	}{
		{"CallerMetrics", callerToken, "/metrics", http.StatusForbidden},
		{"OperatorMetrics", operatorToken, "/metrics", http.StatusOK},
		{"NobodyRequests", "", "/v1/requests/" + goodID, http.StatusForbidden},
		{"NobodyHealth", "", "/health", http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if w := send(s, c.token, http.MethodGet, c.path, ""); w.Code != c.want {
				t.Fatalf("status %d, want %d", w.Code, c.want)
			}
		})
	}
}

func TestHealthReportsADrainToTheBalancer(t *testing.T) {
	s, _ := newServer(t, testDocument())
	s.SetDraining()
	if w := send(s, "", http.MethodGet, "/health", ""); w.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d, want 503", w.Code)
	}
}

func FuzzBodies(f *testing.F) {
	paths := []struct{ method, path string }{
		{http.MethodPost, "/v1/requests"},
		{http.MethodPut, "/v1/jobs/" + goodID},
		{http.MethodPut, "/v1/templates/nightly/" + goodID},
	}
	for i, seed := range []string{goodRequest, goodJob, `{"Payload":"p"}`, `{"Expect":-1}`, `null`, `[]`, `{"Body":null}`} {
		f.Add(i%len(paths), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, i int, body []byte) {
		s, _ := newServer(t, testDocument())
		p := paths[uint(i)%uint(len(paths))]
		w := send(s, callerToken, p.method, p.path, string(body))
		if w.Code == http.StatusInternalServerError || bytes.Contains(w.Body.Bytes(), []byte("panic")) {
			t.Fatalf("status %d for %q: %s", w.Code, body, w.Body)
		}
	})
}
