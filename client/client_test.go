package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/route/once"
)

// reply is how a scripted entry answers one request.
type reply func(w http.ResponseWriter, req *types.Request)

// scriptedEntry is an entry that gives the replies in order, one for each request, and repeats the last one. It records
// the ids of the requests.
type scriptedEntry struct {
	mu      sync.Mutex
	replies []reply
	ids     []RequestID
	server  *httptest.Server
}

func newScriptedEntry(t *testing.T, replies ...reply) *scriptedEntry {
	t.Helper()
	s := &scriptedEntry{replies: replies}
	s.server = httptest.NewServer(s)
	t.Cleanup(s.server.Close)
	return s
}

func (s *scriptedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == pathIDs {
		rest.Write(w, http.StatusOK, map[string]any{"ID": once.Mint("carthage", once.Mark{Epoch: 1, Table: "t"})})
		return
	}
	body, _ := io.ReadAll(r.Body)
	var req types.Request
	_ = json.Unmarshal(body, &req)
	s.mu.Lock()
	respond := s.replies[0]
	if len(s.replies) > 1 {
		s.replies = s.replies[1:]
	}
	s.ids = append(s.ids, req.ID)
	s.mu.Unlock()
	respond(w, &req)
}

func replyDone(w http.ResponseWriter, req *types.Request) {
	rest.Write(w, http.StatusOK, types.NewDoneAnswer(req.ID, req.Body))
}

func replyOutcome(outcome types.Outcome, kind errs.Kind) reply {
	return func(w http.ResponseWriter, req *types.Request) {
		rest.Write(w, errs.AnswerOf(kind).Status, types.NewUnfinishedAnswer(req.ID, outcome, errs.New(kind, "scripted error")))
	}
}

// truncatedResponse sends only a part of the announced HTTP body.
func truncatedResponse(w http.ResponseWriter, req *types.Request) {
	w.Header().Set("Content-Length", "5000")
	_, _ = w.Write([]byte(`{"ID":"` + string(req.ID)))
}

// truncatedBody sends an answer whose body is shorter than its length field.
func truncatedBody(w http.ResponseWriter, req *types.Request) {
	a := types.NewDoneAnswer(req.ID, req.Body)
	a.Body = a.Body[:1]
	rest.Write(w, http.StatusOK, a)
}

// wrongID sends the answer to another id.
func wrongID(w http.ResponseWriter, req *types.Request) {
	rest.Write(w, http.StatusOK, types.NewDoneAnswer(req.ID+"x", req.Body))
}

// replyError sends a typed error instead of an answer.
func replyError(kind errs.Kind) reply {
	return func(w http.ResponseWriter, _ *types.Request) { rest.WriteError(w, errs.New(kind, "scripted error")) }
}

// TestDo checks the outcome, the number of calls and the number of different ids for each kind of reply. A
// non-idempotent request must not get a new id once it may have run under the former one, since it could then run
// twice.
func TestDo(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		replies    []reply
		want       types.Outcome
		kind       errs.Kind
		calls      int
		ids        int
	}{
		{name: "Done", replies: []reply{replyDone}, want: types.OutcomeDone, calls: 1, ids: 1},
		{name: "CutShort", replies: []reply{truncatedResponse, replyDone}, want: types.OutcomeDone, calls: 2, ids: 1},
		{name: "ShortBody", replies: []reply{truncatedBody, replyDone}, want: types.OutcomeDone, calls: 2, ids: 1},
		{name: "OtherID", replies: []reply{wrongID, replyDone}, want: types.OutcomeDone, calls: 2, ids: 1},
		{
			name: "NotRunGetsANewID", replies: []reply{replyOutcome(types.OutcomeNotRun, errs.Overloaded), replyDone},
			want: types.OutcomeDone, calls: 2, ids: 2,
		},
		{
			name: "NotRunForGood", replies: []reply{replyOutcome(types.OutcomeNotRun, errs.Denied)},
			want: types.OutcomeNotRun, kind: errs.Denied, calls: 1, ids: 1,
		},
		{
			name: "UnknownKeepsItsID", replies: []reply{replyOutcome(types.OutcomeUnknown, errs.Unavailable), replyDone},
			want: types.OutcomeDone, calls: 2, ids: 1,
		},
		{
			name: "FirstSendUnderAnOldID", replies: []reply{replyOutcome(types.OutcomeUnknown, errs.Fenced), replyDone},
			want: types.OutcomeDone, calls: 2, ids: 2,
		},
		{
			name:    "SecondSendUnderAnOldID",
			replies: []reply{truncatedResponse, replyOutcome(types.OutcomeUnknown, errs.Fenced), replyDone},
			want:    types.OutcomeUnknown, kind: errs.Fenced, calls: 2, ids: 1,
		},
		{
			name: "IdempotentUnderAnOldID", idempotent: true,
			replies: []reply{truncatedResponse, replyOutcome(types.OutcomeUnknown, errs.Fenced), replyDone},
			want:    types.OutcomeDone, calls: 3, ids: 2,
		},
		{name: "Draining", replies: []reply{replyError(errs.Draining), replyDone}, want: types.OutcomeDone, calls: 2, ids: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScriptedEntry(t, tt.replies...)
			c := newClient(t, s.server.URL)
			a, err := c.Do(context.Background(), Request{
				Service: "desk", Team: "team", Class: types.ClassNormal, Idempotent: tt.idempotent, Body: []byte("refund"),
			})
			wantAnswer(t, a, err, tt.want, tt.kind)
			wantCalls(t, s, tt.calls, tt.ids)
		})
	}
}

// A request that is sent under a new id after NotRun may run under that one. Its caller must not get the answer to the
// former id, which says that the request never runs.
func TestNoAnswerToAFormerIDAfterALostOne(t *testing.T) {
	s := newScriptedEntry(t, replyOutcome(types.OutcomeNotRun, errs.Overloaded), truncatedResponse)
	c := newClient(t, s.server.URL)
	a, err := c.Do(context.Background(), Request{Service: "desk", Team: "team", Class: types.ClassNormal, Body: []byte("refund")})
	if a != nil || !errs.Is(err, errs.Lost) {
		t.Errorf("got answer %+v, error %v, want no answer and an error of kind Lost", a, err)
	}
}

func newClient(t *testing.T, entries ...string) *Client {
	t.Helper()
	c, err := New(Config{Entries: entries, Timeout: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// wantAnswer checks the outcome and, if kind is empty, that the body is complete and there is no error, else the kind
// of the error.
func wantAnswer(t *testing.T, a *Answer, err error, want types.Outcome, kind errs.Kind) {
	t.Helper()
	if a == nil || a.Outcome != want {
		t.Fatalf("unexpected answer %+v, error %v", a, err)
	}
	if kind == "" && (err != nil || string(a.Body) != "refund") {
		t.Errorf("unexpected body %q, error %v", a.Body, err)
	}
	if kind != "" && !errs.Is(err, kind) {
		t.Errorf("got error %v, want kind %s", err, kind)
	}
}

// wantCalls checks how many requests the entry got and how many different ids they had.
func wantCalls(t *testing.T, s *scriptedEntry, calls, ids int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	distinct := make(map[RequestID]bool)
	for _, id := range s.ids {
		distinct[id] = true
	}
	if len(s.ids) != calls || len(distinct) != ids {
		t.Errorf("got %d calls with %d ids, want %d with %d", len(s.ids), len(distinct), calls, ids)
	}
}

func TestEntryThatIsDownIsSkipped(t *testing.T) {
	s := newScriptedEntry(t, replyDone)
	c := newClient(t, "http://127.0.0.1:1", s.server.URL)
	a, err := c.Do(context.Background(), Request{Service: "desk", Team: "team", Class: types.ClassUrgent, Body: []byte("refund")})
	wantAnswer(t, a, err, types.OutcomeDone, "")
	wantCalls(t, s, 1, 1)
}

// TestAnswerThatIsNotKeptReturnsTooLarge sends an answer without its body, as an entry does when the answer is too
// large to be kept. Do must return it with outcome Done and an error of kind TooLarge.
func TestAnswerThatIsNotKeptReturnsTooLarge(t *testing.T) {
	s := newScriptedEntry(t, func(w http.ResponseWriter, req *types.Request) {
		rest.Write(w, http.StatusOK, once.Withhold(*types.NewDoneAnswer(req.ID, req.Body), 1))
	})
	a, err := newClient(t, s.server.URL).Do(context.Background(), Request{Service: "desk", Team: "team", Class: types.ClassUrgent, Body: []byte("refund")})
	wantAnswer(t, a, err, types.OutcomeDone, errs.TooLarge)
}

func TestNoEntryIsRefused(t *testing.T) {
	if _, err := New(Config{}); !errs.Is(err, errs.Invalid) {
		t.Errorf("got error %v, want kind Invalid", err)
	}
}

func FuzzDecodeAnswer(f *testing.F) {
	f.Add(200, `{"ID":"a.1.b","Outcome":"Done","Length":0,"Digest":17241709254077376921}`)
	f.Add(429, `{"Kind":"Overloaded","Message":"x","RetryAfter":1000}`)
	f.Add(500, strings.Repeat("[", 100))
	f.Fuzz(func(t *testing.T, status int, text string) {
		a, err := decodeAnswer(status, []byte(text))
		if err == nil && a.Outcome == "" {
			t.Error("an answer without an outcome was accepted")
		}
	})
}
