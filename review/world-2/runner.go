package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax       = 6 * time.Second
	stopTime      = 200 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	listedEnds    = 500
	lastingSpec   = "lasting"
	farFactor     = 2
	startupTime   = 200 * time.Millisecond
	instanceField = "Magnoliawalk-Instance-Id"
	expectField   = "Magnoliawalk-Expect-Instance"
)

type (
	runningTask struct {
		run      int64
		spec     string
		begun    time.Time
		ms       int64
		stopping bool
	}

	endedRun struct {
		number uint64
		task   string
		run    int64
		how    string
	}

	// taskRunner is one boot of a runner, as the pages describe it. It writes one line a start and an end on standard output.
	taskRunner struct {
		id      string
		address string
		store   string
		service string
		zone    string
		labels  []string
		cpu     int64
		mem     int64
		born    int64
		began   time.Time

		mu       sync.Mutex
		fence    uint64
		deadline int64
		running  map[string]*runningTask
		highest  map[string]int64
		ended    []endedRun
		last     uint64
		changed  chan struct{}
	}
)

func runRunner(args []string) error {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	id, address, store := f.String("id", "", ""), f.String("address", "", ""), f.String("store", "", "")
	service, zone, labels := f.String("service", "", ""), f.String("zone", "", ""), f.String("labels", "", "")
	cpu, mem := f.Int64("cpu", 0, ""), f.Int64("mem", 0, "")
	if err := f.Parse(args); err != nil {
		return err
	}
	r := &taskRunner{
		id: *id, address: *address, store: *store, service: *service, zone: *zone, labels: strings.Split(*labels, ","), cpu: *cpu, mem: *mem,
		born: time.Now().UnixMilli(), began: time.Now(), running: make(map[string]*runningTask), highest: make(map[string]int64),
		changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.register(1)
	go r.heartbeatLoop()
	go r.workLoop()
	r.say("up %s labels=%s cpu=%d", r.id, *labels, r.cpu)
	return http.Serve(l, r.handler())
}

func (r *taskRunner) say(format string, args ...any) {
	fmt.Fprintf(os.Stdout, format+"\n", args...)
}

func (r *taskRunner) clock() int64 { return time.Since(r.began).Milliseconds() }

func (r *taskRunner) heartbeatLoop() {
	for n := 2; ; n++ {
		time.Sleep(heartbeat)
		r.register(n)
	}
}

// register writes the runner's entry into the store.
func (r *taskRunner) register(sequence int) {
	entry, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"sequence": sequence, "born": r.born, "labels": r.labels,
		"capacity": map[string]any{"cpu": r.cpu, "mem-mb": r.mem, "gpu": 0},
	})
	body, _ := json.Marshal(map[string]any{
		"precondition": []any{}, "writes": []any{map[string]any{"key": "servers/" + r.id, "value": entry}}, "remove": []any{},
	})
	request, _ := http.NewRequest(http.MethodPost, "http://"+r.store+"/kv-txn", bytes.NewReader(body))
	request.Header.Set(platformHeader, "runner")
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

func (r *taskRunner) end(task string, t *runningTask, how string) {
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], t.run)
	r.last++
	r.ended = append(r.ended, endedRun{number: r.last, task: task, run: t.run, how: how})
	r.say("end %s run=%d how=%s", task, t.run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *taskRunner) workLoop() {
	for {
		time.Sleep(10 * time.Millisecond)
		r.mu.Lock()
		for task, t := range r.running {
			switch {
			case r.clock() > r.deadline:
				r.end(task, t, "lapsed")
			case !t.stopping && t.spec != lastingSpec && time.Since(t.begun) >= time.Duration(t.ms)*time.Millisecond:
				r.end(task, t, "done")
			}
		}
		r.mu.Unlock()
	}
}

func (r *taskRunner) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", r.start)
	m.HandleFunc("POST /run-stop", r.stop)
	m.HandleFunc("POST /hold", r.hold)
	m.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set(instanceField, r.id)
		if want := q.Header.Get(expectField); want != "" && want != r.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		m.ServeHTTP(w, q)
	})
}

func (r *taskRunner) reject(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"clock-ms": r.clock(), "reason": reason})
}

// accept takes the fence and the deadline of a call; false means that the fence is too low. The caller holds r.mu.
func (r *taskRunner) accept(fence uint64, deadline int64) bool {
	if fence < r.fence {
		return false
	}
	r.fence = fence
	r.deadline = max(r.deadline, min(deadline, r.clock()+holdMax.Milliseconds()))
	return true
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fencing-token"`
	Seen     uint64 `json:"seen-upto"`
	Wait     int64  `json:"wait-timeout-ms"`
}

func (r *taskRunner) start(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(o.Fence, o.Deadline) {
		r.reject(w, "fence")
		return
	}
	present := r.running[o.Task]
	switch {
	case present != nil && present.run == o.Run:
	case o.Run <= r.highest[o.Task] || (present != nil && o.Run < present.run):
		r.reject(w, "old")
		return
	case o.Deadline <= r.clock():
		r.reject(w, "late")
		return
	default:
		t := &runningTask{run: o.Run, spec: o.Spec, begun: time.Now()}
		t.ms = r.duration(o.Spec)
		r.running[o.Task] = t
		r.say("start %s run=%d spec=%s", o.Task, o.Run, o.Spec)
	}
	answer(w, http.StatusOK, map[string]any{"clock-ms": r.clock()})
}

// duration returns how long a task takes here, in milliseconds. The payload says how long it takes on the rack of its data, which it
// may name; on any other one it takes farFactor times as long.
func (r *taskRunner) duration(spec string) int64 {
	text, rack, _ := strings.Cut(strings.TrimPrefix(spec, "ms="), ",rack=")
	ms, _ := strconv.ParseInt(text, 10, 64)
	if rack != "" && !slices.Contains(r.labels, rack) {
		return farFactor * ms
	}
	return ms
}

func (r *taskRunner) stop(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(o.Fence, 0) {
		r.reject(w, "fence")
		return
	}
	t := r.running[o.Task]
	if t == nil || t.run != o.Run {
		r.reject(w, "old")
		return
	}
	if !t.stopping {
		t.stopping = true
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.running[o.Task] == t {
				r.end(o.Task, t, "stopped")
			}
		})
	}
	answer(w, http.StatusOK, map[string]any{"clock-ms": r.clock()})
}

func (r *taskRunner) hold(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	if !r.accept(o.Fence, o.Deadline) {
		r.reject(w, "fence")
		r.mu.Unlock()
		return
	}
	for len(r.ended) > 0 && r.ended[0].number <= o.Seen {
		r.ended = r.ended[1:]
	}
	changed, waits := r.changed, len(r.ended) == 0 && o.Wait > 0
	r.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-q.Context().Done():
			return
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, t := range r.running {
		percent := int64(100)
		if t.spec == lastingSpec && time.Since(t.begun) < startupTime {
			percent = 0
		} else if t.spec != lastingSpec {
			percent = min(99, time.Since(t.begun).Milliseconds()*100/max(t.ms, 1))
		}
		running = append(running, []any{task, t.run, "", percent, 0})
	}
	for i, e := range r.ended {
		if i == listedEnds {
			break
		}
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clock-ms": r.clock(), "born": r.born, "running": running, "ended": ended})
}
