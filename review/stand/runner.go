package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

const (
	// endsPerAnswer is how many ends one answer to /hold lists at most.
	endsPerAnswer = 500
	// heartbeat is how often a runner writes its entry.
	heartbeat = 1500 * time.Millisecond
	// beatsUntilRemoval is after how many intervals of silence its entry is removed.
	beatsUntilRemoval = 3
	holdMax           = 6000
	stopTime          = 200 * time.Millisecond
)

type (
	// runnerConfig describes one runner.
	runnerConfig struct {
		id, address, zone string
		labels            []string
		cpu, mem          int64
	}

	// run is one attempt of a task at work.
	run struct {
		task     string
		number   int64
		began    time.Time
		duration time.Duration
		stopped  bool
	}

	end struct {
		number uint64
		task   string
		run    int64
		how    string
	}

	// runner is one runner of the platform. It starts whatever it is told to start.
	runner struct {
		config runnerConfig
		store  *store
		rec    *record
		born   int64
		began  time.Time
		// sequence is used by beat alone.
		sequence int
		mu       sync.Mutex
		fence    uint64
		deadline int64
		running  map[string]*run
		// ended holds the ends that are not taken note of yet.
		ended   []end
		nextEnd uint64
		// lost is set once the runner is gone for good.
		lost bool
		// healed is closed when the runner can be reached again; nil unless it is cut off.
		healed chan struct{}
		// lapsedAt is when the lease was last over.
		lapsedAt time.Time
		// highest is the highest run of each task that was stopped or has ended here.
		highest map[string]int64
		changed chan struct{}
	}

	order struct {
		Task     string `json:"task"`
		Run      int64  `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline-ms"`
		Fence    uint64 `json:"fencing-token"`
		Seen     uint64 `json:"seen-upto"`
		Wait     int64  `json:"wait-timeout-ms"`
	}
)

func startRunner(c runnerConfig, s *store, rec *record) (*runner, error) {
	r := &runner{
		config: c, store: s, rec: rec, born: time.Now().UnixMilli(), began: time.Now(),
		running: make(map[string]*run), highest: make(map[string]int64), changed: make(chan struct{}),
	}
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", r.start)
	m.HandleFunc("POST /run-stop", r.stop)
	m.HandleFunc("POST /hold", r.hold)
	address, err := serve(c.address, m)
	if err != nil {
		return nil, err
	}
	r.config.address = address
	go r.beat()
	go r.expire()
	return r, nil
}

// beat writes the runner's entry again and again. After three intervals of silence the platform removes it.
func (r *runner) beat() {
	key := "servers/" + r.config.id
	silent := 0
	for {
		if r.isAway() {
			silent++
			if silent == beatsUntilRemoval {
				r.store.remove(key)
			}
		} else {
			silent = 0
			r.sequence++
			r.store.put(key, map[string]any{
				"service": "desk", "address": r.config.address, "zone": r.config.zone, "version": "1", "slots": 8, "state": "ready",
				"cold-remaining-ms": 0, "sequence": r.sequence, "born": r.born, "labels": r.config.labels,
				"capacity": map[string]any{"cpu": r.config.cpu, "mem-mb": r.config.mem, "gpu": 0},
			})
		}
		time.Sleep(heartbeat)
	}
}

// isAway reports whether the runner is gone or cut off.
func (r *runner) isAway() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost || r.healed != nil
}

// clock is the runner's steady clock in milliseconds.
func (r *runner) clock() int64 {
	return time.Since(r.began).Milliseconds() + 1000
}

// expire ends everything when the lease is over.
func (r *runner) expire() {
	for {
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		if r.clock() > r.deadline {
			r.lapsedAt = time.Now()
			for _, x := range r.running {
				r.endRun(x, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// endRun lists the end of a run. The caller must hold r.mu.
func (r *runner) endRun(x *run, how string) {
	if r.running[x.task] != x {
		return
	}
	delete(r.running, x.task)
	r.nextEnd++
	r.ended = append(r.ended, end{number: r.nextEnd, task: x.task, run: x.number, how: how})
	r.highest[x.task] = max(r.highest[x.task], x.number)
	r.rec.ended(r.config.id, x.task, x.number, how, r.nextEnd)
	close(r.changed)
	r.changed = make(chan struct{})
}

// extend raises the lease to the deadline. The caller must hold r.mu.
func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+holdMax))
}

// lose ends the runner for good: what ran there is gone, and its channels are reset.
func (r *runner) lose() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost = true
	for _, x := range r.running {
		x.stopped = true
		r.rec.ended(r.config.id, x.task, x.number, "gone", 0)
	}
	r.running = make(map[string]*run)
	close(r.changed)
	r.changed = make(chan struct{})
}

// cut cuts the runner off for the given time: it runs on, and its calls and answers go nowhere.
func (r *runner) cut(length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healed = make(chan struct{})
	// Answers that wait for an end are lost as well.
	close(r.changed)
	r.changed = make(chan struct{})
	time.AfterFunc(length, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		close(r.healed)
		r.healed = nil
		r.rec.note("runner %s: can be reached again", r.config.id)
	})
}

// reach loses a call while the runner is cut off: it gets no answer. The caller must hold r.mu.
func (r *runner) reach() {
	if healed := r.healed; healed != nil {
		r.mu.Unlock()
		<-healed
		r.mu.Lock()
		panic(http.ErrAbortHandler)
	}
}

// admit decodes an order and checks its boot and its fence. A runner that is gone resets the channel.
func (r *runner) admit(w http.ResponseWriter, q *http.Request, o *order) bool {
	r.reach()
	if r.lost {
		panic(http.ErrAbortHandler)
	}
	if !readJSON(w, q, o) {
		return false
	}
	if id := q.Header.Get("Magnoliawalk-Expect-Instance"); id != "" && id != r.config.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if o.Fence < r.fence {
		r.reject(w, "fence")
		return false
	}
	r.fence = o.Fence
	return true
}

func (r *runner) reject(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock-ms": r.clock(), "born": r.born, "reason": reason})
}

func (r *runner) start(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var o order
	if !r.admit(w, q, &o) {
		return
	}
	if x := r.running[o.Task]; x != nil && x.number == o.Run {
		r.extend(o.Deadline)
		writeJSON(w, http.StatusOK, map[string]any{"clock-ms": r.clock(), "born": r.born})
		return
	}
	if o.Run <= r.highest[o.Task] {
		r.extend(o.Deadline)
		r.reject(w, "old")
		return
	}
	if o.Deadline <= r.clock() {
		r.reject(w, "late")
		return
	}
	r.extend(o.Deadline)
	x := &run{task: o.Task, number: o.Run, began: time.Now(), duration: durationOf(o.Spec, o.Task)}
	r.running[o.Task] = x
	r.rec.started(r.config.id, o.Task, o.Run, o.Spec, o.Fence)
	time.AfterFunc(x.duration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !x.stopped {
			r.endRun(x, "done")
		}
	})
	writeJSON(w, http.StatusOK, map[string]any{"clock-ms": r.clock(), "born": r.born})
}

// durationOf returns how long a task takes: the spec holds the least and the greatest time in milliseconds, and the name of the task
// draws one between them.
func durationOf(spec, task string) time.Duration {
	var least, greatest int64
	if _, err := fmt.Sscanf(spec, "work %d %d", &least, &greatest); err != nil || greatest <= least {
		return time.Second
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(task))
	return time.Duration(least+int64(h.Sum64()%uint64(greatest-least))) * time.Millisecond
}

func (r *runner) stop(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var o order
	if !r.admit(w, q, &o) {
		return
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if x := r.running[o.Task]; x != nil && x.number == o.Run && !x.stopped {
		x.stopped = true
		r.rec.note("runner %s: stop of %s run %d", r.config.id, o.Task, o.Run)
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.endRun(x, "stopped")
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock-ms": r.clock(), "born": r.born})
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var o order
	if !r.admit(w, q, &o) {
		return
	}
	if o.Deadline > 0 {
		r.extend(o.Deadline)
	}
	for len(r.ended) > 0 && r.ended[0].number <= o.Seen {
		r.rec.noted(r.config.id, r.ended[0].task, r.ended[0].run, r.ended[0].how, r.lapsedAt)
		r.ended = r.ended[1:]
	}
	deadline := time.After(time.Duration(o.Wait) * time.Millisecond)
	for len(r.ended) == 0 && o.Wait > 0 {
		changed := r.changed
		r.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-deadline:
			over = true
		case <-q.Context().Done():
			over = true
		}
		r.mu.Lock()
		r.reach()
		if r.lost {
			panic(http.ErrAbortHandler)
		}
		if over {
			break
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.running {
		percent := min(99, int64(100*time.Since(x.began)/max(x.duration, 1)))
		running = append(running, []any{x.task, x.number, "", percent, 100})
	}
	for _, e := range r.ended[:min(len(r.ended), endsPerAnswer)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	if len(r.ended) > endsPerAnswer {
		r.rec.note("runner %s: lists %d of %d ends", r.config.id, endsPerAnswer, len(r.ended))
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock-ms": r.clock(), "born": r.born, "running": running, "ended": ended})
}
