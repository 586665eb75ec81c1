//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	holdMax  = 6 * time.Second
	stopTime = 100 * time.Millisecond
)

type (
	run struct {
		task    string
		attempt int64
		spec    string
		at      time.Time
		endAt   time.Time
		stopped bool
	}

	// runner is a stand-in of one life of a runner. It guards no capacity.
	runner struct {
		world    *world
		id       string
		service  string
		zone     string
		cpu      int64
		label    string
		listener net.Listener
		server   *http.Server
		born     time.Time

		mu      sync.Mutex
		fence   uint64
		until   time.Time
		runs    map[string]*run
		highest map[string]int64
		ended   [][]any
		number  int
		changed chan struct{}
		// isLost is set once the runner is lost; nothing is answered then.
		isLost bool
	}

	order struct {
		Task     string `json:"task"`
		Run      int64  `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline-ms"`
		Fence    uint64 `json:"fencing-token"`
		Seen     int    `json:"seen-upto"`
		Wait     int64  `json:"wait-timeout-ms"`
		Ticket   string `json:"ticket"`
	}
)

// startRunner starts a runner on a free port and registers it.
func (w *world) startRunner(id, service, zone string, cpu int64) *runner {
	listener, err := net.Listen("tcp", w.ip(201)+":0")
	w.must(err)
	r := &runner{
		world: w, id: id, service: service, zone: zone, cpu: cpu, label: "a", listener: listener, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	go r.endLoop()
	r.register("ready", 0)
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	w.note("runner %s of service %s registers, %d thousandths of a core", id, service, cpu)
	return r
}

func (r *runner) register(state string, remaining time.Duration) {
	r.world.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "1", "slots": 8, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": r.born.UnixMilli(), "labels": []string{r.label, "rack-" + r.zone},
		"capacity": map[string]any{"cpu": r.cpu, "mem-mb": 65536, "gpu": 0}, "remaining-ms": remaining.Milliseconds(),
	})
}

// leave reports that the runner drains, and ends it after the time.
func (r *runner) leave(after time.Duration) {
	r.register("draining", after)
	r.world.note("runner %s reports draining", r.id)
	go func() {
		time.Sleep(after + 300*time.Millisecond)
		r.world.store.remove("servers/" + r.id)
		_ = r.server.Close()
		r.mu.Lock()
		for _, run := range r.runs {
			r.end(run, "terminated as the runner leaves")
		}
		r.mu.Unlock()
		r.world.note("runner %s has left", r.id)
	}()
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

func (r *runner) used() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

func (r *runner) endLoop() {
	for range time.Tick(5 * time.Millisecond) {
		r.mu.Lock()
		now := time.Now()
		for _, run := range r.runs {
			switch {
			case now.After(r.until):
				r.end(run, "lapsed")
			case !now.After(run.endAt):
			case run.stopped:
				r.end(run, "stopped")
			case run.attempt == 1 && strings.Contains(run.spec, "fails-once"):
				r.end(run, "failed")
			default:
				r.end(run, "done")
			}
		}
		r.mu.Unlock()
	}
}

// end lists the end of a run. The caller must hold r.mu.
func (r *runner) end(run *run, how string) {
	delete(r.runs, run.task)
	r.number++
	r.ended = append(r.ended, []any{r.number, run.task, run.attempt, how, ""})
	r.world.noteEnd(r.id, run.task, run.attempt, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if r.answersNothing(q) {
		panic(http.ErrAbortHandler)
	}
	if q.Header.Get("Magnoliawalk-Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch q.URL.Path {
	case "/run-start":
		r.start(w, o)
	case "/run-stop":
		r.stop(w, o)
	case "/hold":
		r.hold(w, q, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) reject(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock-ms": r.clock(), "reason": reason})
}

// admit checks the fence of an order and raises that of the runner. The caller must hold r.mu.
func (r *runner) admit(o order) bool {
	if o.Fence < r.fence {
		return false
	}
	r.fence = o.Fence
	return true
}

// extend extends the lease to a time on the runner's clock. The caller must hold r.mu.
func (r *runner) extend(deadline int64) {
	until := r.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(holdMax); until.After(latest) {
		until = latest
	}
	if until.After(r.until) {
		r.until = until
	}
}

func (r *runner) start(w http.ResponseWriter, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.admit(o):
		r.reject(w, "fence")
		return
	case r.runs[o.Task] != nil && r.runs[o.Task].attempt == o.Run:
		reply(w, http.StatusOK, map[string]any{"clock-ms": r.clock()})
		return
	case o.Deadline <= r.clock():
		r.reject(w, "late")
		return
	}
	r.extend(o.Deadline)
	if o.Run <= r.highest[o.Task] {
		r.reject(w, "old")
		return
	}
	if strings.Contains(o.Spec, "advised") && r.world.needsTickets.Load() && !r.world.advice.isValid(o.Ticket, o.Task, r.id) {
		r.reject(w, "ticket")
		return
	}
	r.highest[o.Task] = o.Run
	now := time.Now()
	var work time.Duration
	if _, text, ok := strings.Cut(o.Spec, "work="); ok {
		text, _, _ = strings.Cut(text, " ")
		work, _ = time.ParseDuration(text)
	}
	if strings.Contains(o.Spec, "lasts") && !(o.Run == 1 && strings.Contains(o.Spec, "fails-once")) {
		work = time.Hour
	}
	r.runs[o.Task] = &run{task: o.Task, attempt: o.Run, spec: o.Spec, at: now, endAt: now.Add(work)}
	r.world.noteStart(r, o)
	reply(w, http.StatusOK, map[string]any{"clock-ms": r.clock()})
}

func (r *runner) stop(w http.ResponseWriter, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(o) {
		r.reject(w, "fence")
		return
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if run := r.runs[o.Task]; run != nil && run.attempt == o.Run && !run.stopped {
		run.stopped, run.endAt = true, time.Now().Add(stopTime)
	}
	reply(w, http.StatusOK, map[string]any{"clock-ms": r.clock()})
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, o order) {
	end := time.After(time.Duration(o.Wait) * time.Millisecond)
	r.mu.Lock()
	if !r.admit(o) {
		r.reject(w, "fence")
		r.mu.Unlock()
		return
	}
	if o.Deadline > 0 {
		r.extend(o.Deadline)
	}
	for len(r.ended) > 0 && r.ended[0][0].(int) <= o.Seen {
		r.ended = r.ended[1:]
	}
	for {
		body := map[string]any{"clock-ms": r.clock(), "born": r.born.UnixMilli(), "ended": r.ended[:min(len(r.ended), 500)], "running": r.running()}
		changed, isDue := r.changed, len(r.ended) > 0 || o.Wait == 0
		r.mu.Unlock()
		if isDue {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-end:
			o.Wait = 0
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
	}
}

// running lists the runs with their progress. The caller must hold r.mu.
func (r *runner) running() [][]any {
	out := [][]any{}
	for _, run := range r.runs {
		percent := 100
		if total := run.endAt.Sub(run.at); total > 0 {
			percent = int(100 * time.Since(run.at) / total)
		}
		out = append(out, []any{run.task, run.attempt, "", min(percent, 100), 0})
	}
	return out
}

func (r *runner) String() string { return fmt.Sprintf("%s (%s)", r.id, r.service) }
