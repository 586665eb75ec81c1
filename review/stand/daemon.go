package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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
	// restartDelay is how long a killed machine is down, as in the site file's node_kill with for_s = 3.0.
	restartDelay = 3 * time.Second
	tryTimeout   = 3 * time.Second
)

type (
	// daemon is one process of the system with the settings of its machine.
	daemon struct {
		name, ip, zone, region string
		front, ready, peers    string
		folder                 string
		rec                    *record

		mu      sync.Mutex
		command *exec.Cmd
		// kept is set while an ended process is started again.
		kept bool
	}

	// answer is what a client got.
	answer struct {
		status int
		body   []byte
		err    error
	}
)

// serve serves HTTP on the address, or on a free port of 127.0.0.1 if it is empty, and returns the address.
func serve(address string, h http.Handler) (string, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	return err == nil
}

// freePort returns an address on the IP whose port is free now.
func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// machineIP returns the loopback address of a machine. It depends on the process, since the metrics port is the same on all machines.
func machineIP(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/200%200, 1+os.Getpid()%200, 10+index)
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// newDaemon reserves ports for a daemon and writes its settings file.
func newDaemon(index int, zone, region, storeAddress, folder string, rec *record) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, index), ip: machineIP(index), zone: zone, region: region, folder: folder, rec: rec}
	var err error
	for _, into := range []*string{&d.front, &d.ready, &d.peers} {
		if *into, err = freePort(d.ip); err != nil {
			return nil, err
		}
	}
	return d, os.WriteFile(d.settingsPath(), []byte(d.settings(storeAddress)), 0o644)
}

func (d *daemon) settingsPath() string { return filepath.Join(d.folder, d.name+".conf") }

// settings are those of a machine of a small installation, see DEPLOY.md.
func (d *daemon) settings(storeAddress string) string {
	lines := []string{
		"node=" + d.name, "role=entry", "machine-class=front", "serves=front", "ip=" + d.ip, "zone=" + d.zone, "region=" + d.region,
		"zones.carthage=tunis-north", "zones.sousse=sahel-south", "zones.ariana=tunis-north",
		"listen-addrs.front=" + d.front, "listen-addrs.ready=" + d.ready,
		"internal-ports=" + portOf(d.peers) + "," + portOf(d.peers), "seeds=", "bootstrap=true", "counts-as-loss=false",
		"limits.cpu-share=0.4", "limits.cores=1", "limits.memory-mb=284", "limits.max-fds=4200", "limits.link-mbps=1000.0", "limits.disk-mb=0",
		"discovery=platform", "entry=vip", "heartbeat-ms=1500",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"fault-tolerance.machines=2", "fault-tolerance.zones=0", "fault-tolerance.regions=0",
		"bounds.seed-lag-s=3", "bounds.addr-reuse-s=2", "bounds.contact-ms=4000", "bounds.ack-ms=5000", "bounds.catch-up-s=4",
		"bounds.drain-ms=2500", "bounds.grace-s=6", "bounds.loss-slack-ms=200", "bounds.config-apply-ms=2500", "bounds.downgrade-slack-ms=250",
		"bounds.max-stretch-ms=6000", "bounds.recover-s=12", "bounds.hold-max-ms=6000", "bounds.stop-ms=400", "bounds.gang-ms=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.far-x=2",
		"bounds.checkpoint-s=1", "bounds.restore-ms=250", "bounds.notice-ms=5500", "bounds.migrate-s=1.5", "bounds.maintenance-s=2",
		"bounds.fencing-required=false", "bounds.lease-ms=3000", "bounds.thaw-ms=300", "bounds.pace-ms=100", "bounds.harm-ms=4000",
		"orders=request", "recommendation=" + storeAddress, "platform.address=" + storeAddress, "platform.form=kv",
		"platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.retention-s=20", "platform.value-bytes=1048576",
		"platform.ttl-min-ms=1000", "cloud-api.duties=",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process with the command of the deploy file, and again whenever it ends, as the platform does.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startLocked()
}

func (d *daemon) startLocked() error {
	c := exec.Command("target/magnoliawalk", "platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LANG=C.UTF-8", "MAGNOLIAWALK_SETTINGS=" + d.settingsPath()}
	log, err := os.OpenFile(filepath.Join(d.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	d.command, d.kept = c, true
	d.rec.note("daemon %s: started as process %d", d.name, c.Process.Pid)
	go func() {
		err := c.Wait()
		_ = log.Close()
		d.rec.note("daemon %s: process %d ended: %v", d.name, c.Process.Pid, err)
		time.Sleep(restartDelay)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.kept && d.command == c {
			if err := d.startLocked(); err != nil {
				d.rec.note("daemon %s: can't be started: %v", d.name, err)
			}
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		d.rec.note("daemon %s: %v", d.name, s)
		_ = d.command.Process.Signal(s)
	}
}

// end ends the process for good.
func (d *daemon) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept = false
	if d.command != nil {
		_ = d.command.Process.Signal(syscall.SIGCONT)
		_ = d.command.Process.Kill()
	}
}

// isReady reports whether the daemon answers the platform's readiness check with 200.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// call makes one call of a client.
func (d *daemon) call(method, path string, body any) answer {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return answer{err: err}
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+d.front+path, reader)
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Magnoliawalk-Deadline-Ms", fmt.Sprint(tryTimeout.Milliseconds()))
	c := http.Client{Timeout: tryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(request)
	if err != nil {
		d.rec.note("client: %s %s at %s: %v", method, path, d.name, err)
		return answer{err: err}
	}
	defer r.Body.Close()
	got, err := io.ReadAll(r.Body)
	d.rec.note("client: %s %s at %s: %d %.80s", method, path, d.name, r.StatusCode, strings.TrimSpace(string(got)))
	return answer{status: r.StatusCode, body: got, err: err}
}
