//go:build review

package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// dark is the number of a boot that the connections have which are opened while a machine is down.
const dark = 0

type (
	// machine is one on which runners start again under one id and at one address.
	machine struct {
		world    *world
		id, zone string
		listener net.Listener

		mu sync.Mutex
		// boot counts the starts of the runner from 1 on; it is dark while the machine is down, and boots is the number of starts so far.
		boot, boots int
		runner      *runner
		// back is closed when the machine is back.
		back chan struct{}
	}

	bootKey struct{}
)

// startMachine starts a machine whose runner has a label.
func (w *world) startMachine(id, zone, label string) *machine {
	listener, err := net.Listen("tcp", w.ip(201)+":0")
	w.must(err)
	m := &machine{world: w, id: id, zone: zone, listener: listener, back: make(chan struct{})}
	server := &http.Server{Handler: m, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, bootKey{}, m.currentBoot())
	}}
	m.start(label)
	go func() { _ = server.Serve(listener) }()
	return m
}

func (m *machine) currentBoot() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.boot
}

// start starts the runner anew, as one of the kind that the label names. It is registered before it answers.
func (m *machine) start(label string) {
	r := &runner{
		world: m.world, id: m.id, service: "desk", zone: m.zone, cpu: 64000, listener: m.listener, born: time.Now(), label: label,
		runs: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	r.register("ready", 0)
	m.world.note("runner %s starts, of kind %s", m.id, label)
	go r.endLoop()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.boots++
	m.boot, m.runner = m.boots, r
	close(m.back)
	m.back = make(chan struct{})
}

// crash ends the runner with all that it runs, and starts it again after a time, as one of the kind that the label names. Until then nothing
// is answered. The connections to it don't end by that.
func (m *machine) crash(downFor time.Duration, label string) {
	m.world.note("runner %s crashes; it is dark for %s", m.id, downFor)
	m.mu.Lock()
	m.boot = dark
	r := m.runner
	m.mu.Unlock()
	r.mu.Lock()
	r.isLost = true
	r.runs = map[string]*run{}
	r.mu.Unlock()
	time.Sleep(downFor)
	m.start(label)
}

// ServeHTTP serves a request on a connection as a machine does that knows nothing of the connections to its former boots: what arrives while
// it is down has no answer, and a connection that was opened before is reset by the first request after that.
func (m *machine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	m.mu.Lock()
	boot, r, back := m.boot, m.runner, m.back
	m.mu.Unlock()
	if boot == dark {
		select {
		case <-back:
		case <-q.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if q.Context().Value(bootKey{}) != boot {
		panic(http.ErrAbortHandler)
	}
	r.ServeHTTP(w, q)
}

// reborn lets one runner after the other crash and start again at once as one of the other kind, under its id and at its address. No task may
// start on a runner that lacks the label which the task requires.
func reborn(w *world) {
	const rounds, downFor = 12, 600 * time.Millisecond
	w.config(11, []string{"desk"}, w.route("checks", "/checks/", "desk"))
	kinds := []string{"kind-a", "kind-b"}
	var machines []*machine
	for i := range 8 {
		machines = append(machines, w.startMachine(newID()[:8], zones[i%len(zones)].name, kinds[i%2]))
	}
	_, others := w.startDaemons()
	w.must(w.warmUp(others[0], "/checks/"))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() { w.submitKinds(others[i%len(others)], kinds, stop) })
	}
	time.Sleep(3 * time.Second)
	for i := range rounds {
		m := machines[i%len(machines)]
		if w.trouble {
			m.crash(downFor, other(kinds, m.runner.label))
		}
		time.Sleep(4*time.Second + rand.N(500*time.Millisecond))
	}
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second)
	wrong, starts := w.startsWithoutLabel()
	if starts == 0 {
		w.must(errNoJobs)
	}
	if wrong > 0 {
		w.finish(true, "ROUTE: %d of %d starts were on a runner without the label that the task requires", wrong, starts)
	}
	w.finish(false, "all %d starts were on runners with the label that the task requires", starts)
}

func other(kinds []string, kind string) string {
	if kinds[0] == kind {
		return kinds[1]
	}
	return kinds[0]
}

// submitKinds submits a short job four times a second, which requires one of the kinds, until stop is closed.
func (w *world) submitKinds(d *daemon, kinds []string, stop chan struct{}) {
	for i := rand.IntN(2); ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(200*time.Millisecond + rand.N(100*time.Millisecond)):
		}
		kind := kinds[i%2]
		body := job("work=640ms needs="+kind, 2, 1000, 640*time.Millisecond)
		body["steps"].([]any)[0].(map[string]any)["requirements"] = kind
		id := newID()
		a := w.call(d, "POST", "/checks/"+id, body)
		if a.status != 200 {
			w.note("client has answer %d to %s", a.status, id)
		}
	}
}

// startsWithoutLabel counts the starts on a runner without the label that the task requires, and all starts that require one.
func (w *world) startsWithoutLabel() (wrong, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, starts := range w.starts {
		_, label, ok := strings.Cut(w.specs[strings.SplitN(task, ".", 2)[0]], "needs=")
		if !ok {
			continue
		}
		for _, s := range starts {
			all++
			if s.label != label {
				wrong++
			}
		}
	}
	return wrong, all
}
