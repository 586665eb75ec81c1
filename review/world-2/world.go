package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service     = "booking-desk"
	host        = "desk.example"
	zone        = "carthage"
	callTimeout = 3 * time.Second
)

type (
	// runnerEvent is a start or an end that a runner has reported on its standard output.
	runnerEvent struct {
		at     time.Time
		runner string
		labels string
		kind   string
		task   string
		run    string
		how    string
		spec   string
	}

	process struct {
		cmd  *exec.Cmd
		done chan struct{}
	}

	runnerSpec struct {
		id      string
		address string
		labels  string
		cpu     int64
	}

	// world is one play of a case.
	world struct {
		trouble bool
		began   time.Time
		folder  string
		record  *os.File
		store   *metaStore
		address string
		subnet  string
		fronts  []string

		mu      sync.Mutex
		daemons []*process
		// restart starts the daemon of the same index again.
		restart []func() *process
		runners map[string]*process
		specs   map[string]runnerSpec
		events  []runnerEvent
		next    int
	}
)

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		began: time.Now(), folder: folder, record: f, store: newStore(), runners: make(map[string]*process), specs: make(map[string]runnerSpec),
		subnet: fmt.Sprintf("127.%d.%d.", 1+rand.Intn(250), 1+rand.Intn(250)),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	go func() { _ = http.Serve(l, w.store.handler()) }()
	return w, nil
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

func (w *world) close() {
	w.mu.Lock()
	all := append([]*process{}, w.daemons...)
	for _, p := range w.runners {
		all = append(all, p)
	}
	w.mu.Unlock()
	for _, p := range all {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
	_ = w.record.Close()
}

// start starts a process that ends with this one, and passes its standard output on, line by line.
func start(cmd *exec.Cmd, line func(string)) (*process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			line(lines.Text())
		}
		_, _ = io.Copy(io.Discard, out)
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// freeAddress returns an address on the given IP on which nothing listens.
func freeAddress(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startDaemons starts the given number of daemons and waits until all are ready.
func (w *world) startDaemons(count int, extra ...string) {
	for i := range count {
		ip := fmt.Sprintf("%s%d", w.subnet, i+1)
		front, ready := freeAddress(ip), freeAddress(ip)
		_, peers, _ := net.SplitHostPort(freeAddress(ip))
		lines := []string{
			fmt.Sprintf("node=front-carthage-%d", i+1), "role=entry", "machine-class=front", "serves=front", "ip=" + ip, "zone=" + zone,
			"region=tunis-north", "zones.carthage=tunis-north", "listen-addrs.front=" + front, "listen-addrs.ready=" + ready,
			"internal-ports=" + peers + "," + peers, "bootstrap=true", "limits.cpu-share=0.4", "limits.cores=1", "limits.memory-mb=284",
			"limits.max-fds=4200", "limits.link-mbps=1000.0", "limits.disk-mb=0", "discovery=platform", "entry=vip", "heartbeat-ms=1500",
			"contracts=base,drain,config,cost,recover,sched,platform", "bounds.seed-lag-s=3", "bounds.addr-reuse-s=2", "bounds.contact-ms=4000",
			"bounds.ack-ms=5000", "bounds.catch-up-s=4", "bounds.drain-ms=2500", "bounds.grace-s=6", "bounds.loss-slack-ms=200",
			"bounds.config-apply-ms=2500", "bounds.downgrade-slack-ms=250", "bounds.max-stretch-ms=6000", "bounds.recover-s=12",
			"bounds.hold-max-ms=6000", "bounds.stop-ms=400", "bounds.gang-ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
			"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.far-x=2", "bounds.checkpoint-s=1",
			"bounds.restore-ms=250", "bounds.notice-ms=5500", "bounds.lease-ms=3000", "orders=request", "platform.address=" + w.address,
			"platform.form=kv", "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.retention-s=20",
			"platform.value-bytes=1048576", "platform.ttl-min-ms=1000",
		}
		lines = append(lines, extra...)
		path := filepath.Join(w.folder, fmt.Sprintf("daemon-%d.conf", i+1))
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			panic(err)
		}
		log, err := os.Create(filepath.Join(w.folder, fmt.Sprintf("daemon-%d.log", i+1)))
		if err != nil {
			panic(err)
		}
		w.daemons = append(w.daemons, startDaemon(path, log))
		w.restart = append(w.restart, func() *process { return startDaemon(path, log) })
		w.fronts = append(w.fronts, front)
		defer w.awaitReady(ready)
	}
}

// startDaemon starts the program with the command of the deploy file.
func startDaemon(settings string, log io.StringWriter) *process {
	cmd := exec.Command("target/magnoliawalk", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MAGNOLIAWALK_SETTINGS=" + settings}
	p, err := start(cmd, func(line string) { _, _ = log.WriteString(line + "\n") })
	if err != nil {
		panic(err)
	}
	return p
}

func (w *world) awaitReady(address string) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + address + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	panic("a daemon does not become ready")
}

// configure writes a desired state with the given routes.
func (w *world) configure(version int, tenants []any, routes ...map[string]any) {
	body := map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": service, "enforces-capacity": false}},
		"limits": map[string]any{"max-body-bytes": 262144},
	}
	if tenants != nil {
		body["tenants"] = tenants
	}
	w.store.put("op/config", body)
	w.note("the operator writes desired state %d", version)
}

func route(name string, priority int, stretch float64, latencyMs int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "service": service, "priority": priority, "max-attempts": 3,
		"stretch": stretch, "target-latency-ms": latencyMs,
	}
}

// startRunner starts a boot of a runner, at its former address if it has had one.
func (w *world) startRunner(s runnerSpec) {
	if s.address == "" {
		w.next++
		s.address = freeAddress(fmt.Sprintf("%s%d", w.subnet, 100+w.next))
	}
	program, err := os.Executable()
	if err != nil {
		panic(err)
	}
	cmd := exec.Command(program, "runner", "--id", s.id, "--address", s.address, "--store", w.address, "--service", service,
		"--zone", zone, "--labels", s.labels, "--cpu", fmt.Sprint(s.cpu), "--mem", "65536")
	p, err := start(cmd, func(line string) { w.noteRunner(s, line) })
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runners[s.id], w.specs[s.id] = p, s
}

// crash kills the process of a runner.
func (w *world) crash(id string) {
	w.mu.Lock()
	p := w.runners[id]
	delete(w.runners, id)
	w.mu.Unlock()
	_ = p.cmd.Process.Kill()
	<-p.done
	w.mu.Lock()
	w.events = append(w.events, runnerEvent{at: time.Now(), runner: id, kind: "crash"})
	w.mu.Unlock()
	w.note("runner %s is killed", id)
}

func (w *world) noteRunner(s runnerSpec, line string) {
	w.note("runner %s: %s", s.id, line)
	e := runnerEvent{at: time.Now(), runner: s.id, labels: s.labels}
	fields := strings.Fields(line)
	e.kind = fields[0]
	if len(fields) > 1 {
		e.task = fields[1]
	}
	for _, f := range fields {
		if run, ok := strings.CutPrefix(f, "run="); ok {
			e.run = run
		}
		if how, ok := strings.CutPrefix(f, "how="); ok {
			e.how = how
		}
		if spec, ok := strings.CutPrefix(f, "spec="); ok {
			e.spec = spec
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, e)
}

// history returns what the runners have reported so far.
func (w *world) history() []runnerEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]runnerEvent{}, w.events...)
}

// count returns how many reports match.
func (w *world) count(match func(runnerEvent) bool) int {
	n := 0
	for _, e := range w.history() {
		if match(e) {
			n++
		}
	}
	return n
}

// runnerOf returns the runner on which a task runs, or an empty string.
func (w *world) runnerOf(task string) string {
	on := ""
	for _, e := range w.history() {
		switch {
		case e.kind == "start" && e.task == task:
			on = e.runner
		case e.kind == "end" && e.task == task && e.runner == on, e.kind == "crash" && e.runner == on:
			on = ""
		}
	}
	return on
}

// await waits until the condition holds, and reports whether it did.
func await(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func must(ok bool, what string) {
	if !ok {
		panic(what)
	}
}

// call makes one call of a client and returns the status, 0 without an answer, and the state in the body.
func (w *world) call(method, key, path string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		reader = strings.NewReader(string(encoded))
	}
	front := w.fronts[rand.Intn(len(w.fronts))]
	r, _ := http.NewRequest(method, "http://"+front+path, reader)
	r.Host = host
	r.Header.Set("Magnoliawalk-Deadline-Ms", "3000")
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	client := http.Client{Timeout: callTimeout}
	response, err := client.Do(r)
	if err != nil {
		w.note("%s %s: no answer: %v", method, path, err)
		return 0, ""
	}
	defer response.Body.Close()
	var state struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(response.Body).Decode(&state)
	w.note("%s %s: %d %s", method, path, response.StatusCode, state.State)
	return response.StatusCode, state.State
}

// submit submits a job until it is accepted.
func (w *world) submit(queue, id, spec string, steps ...map[string]any) {
	for range 5 {
		if status, _ := w.call(http.MethodPost, "", "/"+queue+"/"+id, map[string]any{"spec": spec, "steps": steps}); status == http.StatusOK {
			return
		}
		time.Sleep(time.Second)
	}
	panic("job " + id + " was not accepted")
}

func (w *world) state(queue, id string) string {
	_, state := w.call(http.MethodGet, "", "/"+queue+"/"+id, nil)
	return state
}

// restartLeader stops the daemon that leads with SIGTERM, as the platform does, and starts it again once it has ended. The leader is
// the one that the record in the store names.
func (w *world) restartLeader() {
	w.store.mu.Lock()
	record := string(w.store.items["Flow/Control/Lead"].Value)
	w.store.mu.Unlock()
	for i, p := range w.daemons {
		if !strings.Contains(record, fmt.Sprintf("front-carthage-%d\"", i+1)) {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		w.note("daemon %d, which leads, gets SIGTERM", i+1)
		<-p.done
		next := w.restart[i]()
		w.mu.Lock()
		w.daemons[i] = next
		w.mu.Unlock()
		w.note("daemon %d has ended and is started again", i+1)
		return
	}
	panic("no daemon leads")
}
