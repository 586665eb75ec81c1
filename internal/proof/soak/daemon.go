package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/platform/stand"
)

const (
	// drainTimeout is the time from the stop signal to the end of a daemon.
	drainTimeout = 5 * time.Second
	// exitTimeout is how long a daemon may take to end after the stop signal: its drain timeout, and the time that a
	// busy machine takes to notice that the process has ended.
	exitTimeout = 7 * time.Second
	logFileMode = 0o600
	// listenTimeout is how long a daemon may take from its start until it listens.
	listenTimeout = 15 * time.Second
	// rollbackShare is the number of restarts of which one is of the former build.
	rollbackShare = 3
	// With ScarceProcessor one in weakShare daemons is strong and has strongCores; the others run for slowRunTime and are paused for
	// slowPause, again and again.
	weakShare   = 3
	strongCores = 4
	slowRunTime = 20 * time.Millisecond
	slowPause   = 30 * time.Millisecond
)

type (
	// daemon is one VM: its addresses, its proxy to the store, and its latest process.
	daemon struct {
		harness      *harness
		config       stand.Daemon
		settingsPath string
		storeProxy   *proxy
		logFile      *os.File

		mu      sync.Mutex
		process *process
		// starts counts the processes so far.
		starts int
	}

	// process is one run of a daemon, from its start to its end.
	process struct {
		command *exec.Cmd
		done    chan struct{}
		err     error
		// listening is set once the process listens. Before that no stop signal is sent, since it would end the process
		// at once, like any program that has just started.
		listening bool
		// stopSentAt is when the process was told to stop; zero before.
		stopSentAt time.Time
		// disrupted is set when the process was paused or killed; how it ends is then not checked.
		disrupted bool
		// killed is set when the process was sent SIGKILL, and may not have ended yet.
		killed bool
	}
)

func newDaemon(h *harness, name types.VMID) (*daemon, error) {
	storeProxy, err := newProxy(h.clock, h.platform.Address, h.storeRate())
	if err != nil {
		return nil, err
	}
	config, err := stand.NewDaemon(name, storeProxy.address, h.platform.Address)
	if err != nil {
		return nil, err
	}
	config.DrainTimeout = drainTimeout
	if h.config.NarrowLinks {
		config.LinkMbps = narrowLinkMbps
	}
	if h.config.ScarceProcessor && len(h.daemons)%weakShare == 0 {
		config.Cores = strongCores
	}
	settingsPath, err := config.WriteSettings(h.config.Directory)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(h.config.Directory, string(name)+".log")
	logFile, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode)
	if err != nil {
		return nil, errs.New(errs.Internal, "opening the daemon's log: %v", err)
	}
	return &daemon{harness: h, config: config, settingsPath: settingsPath, storeProxy: storeProxy, logFile: logFile}, nil
}

// awaitKilled waits for the end of a process that was killed.
func (d *daemon) awaitKilled() {
	d.mu.Lock()
	p := d.process
	isKilled := p != nil && p.killed
	d.mu.Unlock()
	if isKilled {
		<-p.done
	}
}

// start starts a process unless one is running.
func (d *daemon) start() error {
	d.awaitKilled()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil && d.process.isRunning() {
		return nil
	}
	_, port, err := net.SplitHostPort(string(d.config.Metrics))
	if err != nil {
		return errs.New(errs.Invalid, "splitting the metrics address: %v", err)
	}
	command := d.nextCommand()
	arguments := append(append([]string{}, command[1:]...), "--settings", d.settingsPath, "--metrics-port", port)
	p := &process{command: exec.Command(command[0], arguments...), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = d.logFile, d.logFile
	if d.harness.config.ScarceProcessor {
		p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	if err := p.command.Start(); err != nil {
		return errs.New(errs.Internal, "starting the daemon's process: %v", err)
	}
	d.process = p
	go d.reap(p)
	go d.awaitListening(p)
	return nil
}

// nextCommand returns the command of the next start, by the seed, the daemon and the number of its starts. The caller must hold d.mu.
func (d *daemon) nextCommand() []string {
	c := d.harness.config
	start := d.starts
	d.starts++
	if len(c.Former) == 0 {
		return c.Command
	}
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, c.Seed, d.config.Name, start) // Writes to a hash do not fail.
	if start > 0 && h.Sum32()%rollbackShare != 0 {
		return c.Command
	}
	d.harness.recordFault("former build", "%s", d.config.Name)
	return c.Former
}

// awaitListening waits until a process listens or ends. It records a violation if an undisrupted one does not listen
// within listenTimeout.
func (d *daemon) awaitListening(p *process) {
	for deadline := d.harness.clock.Now().Add(listenTimeout); p.isRunning(); d.harness.clock.Sleep(pollInterval) {
		if c, err := net.Dial("tcp", string(d.config.Ready)); err == nil {
			// The connection only shows that the process listens; nothing is sent on it.
			_ = c.Close()
			d.mu.Lock()
			p.listening = true
			d.mu.Unlock()
			return
		}
		if d.harness.clock.Now().After(deadline) && d.undisrupted() == p {
			d.harness.recorder.addViolation("daemon %s was not listening %s after its start", d.config.Name, listenTimeout)
			return
		}
	}
}

// reap waits for the end of a process. It records a violation if an undisrupted one ended without a stop signal, with
// an error or too late.
func (d *daemon) reap(p *process) {
	err := p.command.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	p.err = err
	close(p.done)
	switch {
	case p.disrupted:
	case p.stopSentAt.IsZero():
		d.harness.recorder.addViolation("daemon %s ended without a stop signal: %v", d.config.Name, err)
	case err != nil:
		d.harness.recorder.addViolation("daemon %s ended with an error after the stop signal: %v", d.config.Name, err)
	case d.harness.clock.Since(p.stopSentAt) > exitTimeout:
		d.harness.recorder.addViolation("daemon %s took too long to stop: %s", d.config.Name, d.harness.clock.Since(p.stopSentAt))
	}
}

func (p *process) isRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the running process, if there is one. disrupts says that the signal pauses or kills it, so
// that how it ends is not checked any more.
func (d *daemon) signal(s syscall.Signal, disrupts bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil || !d.process.isRunning() {
		return
	}
	d.process.disrupted = d.process.disrupted || disrupts
	d.process.killed = d.process.killed || s == syscall.SIGKILL
	// An error means that the process has just ended, which reap handles.
	_ = d.process.command.Process.Signal(s)
}

// slowDown pauses the process for most of the time until ctx ends, as a processor that is short does.
func (d *daemon) slowDown(ctx context.Context) {
	clock := d.harness.clock
	for ctx.Err() == nil {
		d.signal(syscall.SIGSTOP, false)
		every.Sleep(ctx, clock, slowPause)
		d.signal(syscall.SIGCONT, false)
		every.Sleep(ctx, clock, slowRunTime)
	}
}

// isListening reports whether the daemon's latest process has begun to listen.
func (d *daemon) isListening() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process != nil && d.process.listening
}

// terminate sends SIGTERM to the process. It sends nothing and returns false if the process does not listen yet.
func (d *daemon) terminate() bool {
	d.mu.Lock()
	listening := d.process != nil && d.process.listening
	if listening && d.process.stopSentAt.IsZero() {
		d.process.stopSentAt = d.harness.clock.Now()
	}
	d.mu.Unlock()
	if listening {
		d.signal(syscall.SIGTERM, false)
	}
	return listening
}

// awaitExit waits until the process has ended, and kills it after exitTimeout.
func (d *daemon) awaitExit() {
	d.mu.Lock()
	p := d.process
	d.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case <-p.done:
	case <-d.harness.clock.After(exitTimeout):
		d.mu.Lock()
		if !p.disrupted {
			d.harness.recorder.addViolation("daemon %s did not stop within %s", d.config.Name, exitTimeout)
		}
		d.mu.Unlock()
		d.signal(syscall.SIGKILL, true)
		<-p.done
	}
}

// undisrupted returns the daemon's process if it is running and was never paused or killed, otherwise nil.
func (d *daemon) undisrupted() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil || !d.process.isRunning() || d.process.disrupted {
		return nil
	}
	return d.process
}

// close kills the process, if one is running, and closes the proxy and the log.
func (d *daemon) close() {
	d.signal(syscall.SIGKILL, true)
	d.mu.Lock()
	p := d.process
	d.mu.Unlock()
	if p != nil {
		<-p.done
	}
	d.storeProxy.close()
	// An error loses nothing: the processes wrote the log through their own descriptors.
	_ = d.logFile.Close()
}
