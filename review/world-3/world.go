//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type (
	// world holds the stand-ins, the daemons and the record of one run of a case.
	world struct {
		store  *store
		advice *advice
		// needsTickets is set while the queue of jobs whose spec says "advised" has a recommendation.
		needsTickets atomic.Bool
		trouble      bool
		subnet       string
		dir          string
		record       io.Writer
		began        time.Time
		daemons      []*daemon
		host         string

		mu      sync.Mutex
		runners []*runner
		// starts and ends hold what the runners saw of each task.
		starts map[string][]seen
		// specs holds the spec of each job that a runner has begun.
		specs map[string]string
		ends  map[string][]seen
	}

	seen struct {
		runner  string
		service string
		label   string
		attempt int64
		how     string
		at      time.Time
	}

	// daemon is one process of the system, started with the command of the deploy file.
	daemon struct {
		world   *world
		name    string
		zone    string
		ip      string
		storeIP string
		path    string
		cmd     *exec.Cmd

		mu    sync.Mutex
		leads bool
	}

	// answer is that to a client's call; status 0 means that there was none.
	answer struct {
		status int
		state  string
	}
)

// zones are those of the deployment, with their regions.
var zones = []struct{ name, region string }{{"carthage", "tunis-north"}, {"sousse", "sahel-south"}, {"ariana", "tunis-north"}}

// maxRunTime is how long a run may take.
const maxRunTime = 115 * time.Second

const (
	portFront, portReady, portInternal = 8161, 8167, 7720
)

func newWorld() *world {
	w := &world{
		store: newStore(), trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), host: "jobs.example",
		subnet: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
		starts: map[string][]seen{}, specs: map[string]string{}, ends: map[string][]seen{},
	}
	record, err := os.Create(os.Getenv("RECORD"))
	w.must(err)
	w.record = record
	w.dir, err = os.MkdirTemp("", "review-3-")
	w.must(err)
	w.note("disruption: %v", w.trouble)
	go w.endEarly()
	w.advice = &advice{world: w, tickets: map[string]ticket{}}
	w.serve(200, w.advice)
	return w
}

// serve serves a service of the platform at an address of the loopback network.
func (w *world) serve(host int, handler http.Handler) {
	listener, err := net.Listen("tcp", w.ip(host)+":8169")
	w.must(err)
	go func() { _ = http.Serve(listener, handler) }()
}

// ip returns an address of the loopback network of this run.
func (w *world) ip(host int) string { return fmt.Sprintf("%s.%d", w.subnet, host) }

// endEarly ends the run with exit code 2 when it has taken too long, or gets a signal.
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-time.After(maxRunTime):
		w.must(errors.New("the time limit was reached"))
	case s := <-signals:
		w.must(fmt.Errorf("got %s", s))
	}
}

// must ends the run with exit code 2 unless err is nil.
func (w *world) must(err error) {
	if err != nil {
		w.note("the case cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		w.close()
		os.Exit(2)
	}
}

func (w *world) note(format string, args ...any) {
	if w.record == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) noteStart(r *runner, o order) {
	w.note("%s starts %s run %d (%s)", r, o.Task, o.Run, o.Spec)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[strings.SplitN(o.Task, ".", 2)[0]] = o.Spec
	w.starts[o.Task] = append(w.starts[o.Task], seen{runner: r.id, service: r.service, label: r.label, attempt: o.Run, at: time.Now()})
}

func (w *world) noteEnd(id, task string, attempt int64, how string) {
	w.note("%s: %s run %d ends %s", id, task, attempt, how)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends[task] = append(w.ends[task], seen{runner: id, attempt: attempt, how: how, at: time.Now()})
}

// startsOf returns what runners have begun of a job.
func (w *world) startsOf(id string) []seen {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []seen
	for task, all := range w.starts {
		if strings.HasPrefix(task, id+".") {
			out = append(out, all...)
		}
	}
	return out
}

// close ends all processes that the run started.
func (w *world) close() {
	for _, d := range w.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Kill()
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Wait()
		}
	}
	if w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}

// finish ends the run: with exit code 1 if the rule was broken, else 0.
func (w *world) finish(broken bool, format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
	w.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// startDaemon starts a daemon that reaches the store at an address of its own.
func (w *world) startDaemon(index int, zone, region string) *daemon {
	w.serve(100+index, w.store)
	d := &daemon{world: w, name: fmt.Sprintf("front-%s-%d", zone, index), zone: zone, ip: w.ip(index), storeIP: w.ip(100 + index)}
	lines := []string{
		"node=" + d.name, "role=entry", "machine-class=front", "serves=front", "ip=" + d.ip, "zone=" + zone, "region=" + region,
		fmt.Sprintf("listen-addrs.front=%s:%d", d.ip, portFront), fmt.Sprintf("listen-addrs.ready=%s:%d", d.ip, portReady),
		fmt.Sprintf("internal-ports=%d,%d", portInternal, portInternal+15), "bootstrap=true", "limits.cpu-share=0.4", "limits.cores=1",
		"limits.memory-mb=284", "limits.max-fds=4200", "limits.link-mbps=1000.0", "discovery=platform", "entry=vip", "heartbeat-ms=1500",
		"contracts=base,drain,config,cost,recover,sched,platform,advice", "bounds.contact-ms=4000", "bounds.ack-ms=5000",
		"bounds.drain-ms=2500", "bounds.grace-s=6", "bounds.config-apply-ms=2500", "bounds.recover-s=12", "bounds.hold-max-ms=6000",
		"bounds.stop-ms=400", "bounds.gang-ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250",
		"bounds.finish_s=14", "bounds.status_s=120", "bounds.far-x=2", "bounds.checkpoint-s=1", "bounds.restore-ms=250",
		"orders=request", "recommendation=" + w.ip(200) + ":8169", "platform.address=" + d.storeIP + ":8169", "platform.form=kv",
		"platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.retention-s=20", "platform.value-bytes=1048576",
		"platform.ttl-min-ms=1000",
	}
	path := filepath.Join(w.dir, d.name+".conf")
	w.must(os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	w.daemons = append(w.daemons, d)
	d.path = path
	d.restart()
	return d
}

// restart starts the process of the daemon.
func (d *daemon) restart() {
	d.cmd = exec.Command("target/magnoliawalk", "platform")
	d.cmd.Env = []string{"MAGNOLIAWALK_SETTINGS=" + d.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	output, err := d.cmd.StdoutPipe()
	d.world.must(err)
	d.cmd.Stderr = d.cmd.Stdout
	d.world.must(d.cmd.Start())
	d.world.note("daemon %s starts", d.name)
	go d.readLog(output)
}

// readLog follows who leads, so that the case can choose a daemon; the rule is not judged by it.
func (d *daemon) readLog(output io.Reader) {
	var log io.Writer = io.Discard
	if name := os.Getenv("LOGS"); name != "" {
		if f, err := os.Create(filepath.Join(name, d.name+".log")); err == nil {
			log = f
		}
	}
	for lines := bufio.NewScanner(output); lines.Scan(); {
		text := lines.Text()
		fmt.Fprintln(log, text)
		d.mu.Lock()
		switch {
		case strings.Contains(text, "became leader"):
			d.leads = true
		case strings.Contains(text, "term as leader ended"):
			d.leads = false
		}
		d.mu.Unlock()
	}
}

func (d *daemon) isLeader() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leads
}

func (d *daemon) signal(s syscall.Signal) {
	d.world.note("daemon %s gets %s", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// awaitReady waits until all daemons are ready and one leads, and returns that one and the others.
func (w *world) awaitReady() (leader *daemon, others []*daemon) {
	end := time.Now().Add(20 * time.Second)
	for time.Now().Before(end) {
		leader, others = nil, nil
		ready := 0
		for _, d := range w.daemons {
			if r, err := http.Get(fmt.Sprintf("http://%s:%d/ready", d.ip, portReady)); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
			if d.isLeader() {
				leader = d
			} else {
				others = append(others, d)
			}
		}
		if ready == len(w.daemons) && leader != nil {
			w.note("all daemons are ready, %s leads", leader.name)
			return leader, others
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.must(fmt.Errorf("the daemons are not ready"))
	return nil, nil
}

// call makes one call of a client on a connection of its own.
func (w *world) call(d *daemon, method, path string, body any) answer {
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		w.must(err)
		reader = bytes.NewReader(text)
	}
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", d.ip, portFront, path), reader)
	w.must(err)
	q.Host = w.host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Magnoliawalk-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Do(q)
	if err != nil {
		return answer{}
	}
	defer r.Body.Close()
	var state struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(r.Body).Decode(&state)
	return answer{status: r.StatusCode, state: state.State}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// job returns the body of a job with one step.
func job(spec string, tasks int, cpu int64, work time.Duration) map[string]any {
	return map[string]any{"spec": spec, "steps": []any{map[string]any{
		"count": tasks, "cpu": cpu, "mem-mb": 256, "estimated-ms": work.Milliseconds(),
	}}}
}

// startRunners starts runners of a service in all zones.
func (w *world) startRunners(name, service string, count int, cpu int64) []*runner {
	var out []*runner
	for i := range count {
		out = append(out, w.startRunner(fmt.Sprintf("s-%s-%d", name, i), service, zones[i%len(zones)].name, cpu))
	}
	return out
}

// startDaemons starts seven daemons in three zones of two regions, and returns the one that leads and the others.
func (w *world) startDaemons() (leader *daemon, others []*daemon) {
	for i := range 7 {
		zone := zones[i%len(zones)]
		w.startDaemon(i+1, zone.name, zone.region)
	}
	leader, others = w.awaitReady()
	time.Sleep(2 * time.Second)
	return leader, others
}

// config writes a desired state with one route, whose queue has the service.
func (w *world) config(version int, services []string, routes ...map[string]any) {
	list := []any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "enforces-capacity": false})
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list, "limits": map[string]any{"max-body-bytes": 262144},
	})
	w.note("desired state %d is acknowledged: %v", version, routes)
}

func (w *world) route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": w.host, "prefix": prefix, "service": service, "priority": 0, "max-attempts": 3, "stretch": 2.0,
		"target-latency-ms": 400,
	}
}
