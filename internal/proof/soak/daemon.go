package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/platform/stand"
)

const (
	// drainTimeout is the time between the signal to stop and the end of a daemon.
	drainTimeout = 5 * time.Second
	// exitTimeout is how long a daemon may take to end after it was told to: its grace time, and what a busy machine
	// takes to see that it has ended.
	exitTimeout = 7 * time.Second
	logFileMode = 0o600
	// listenTimeout is how long a daemon may take until it listens.
	listenTimeout = 15 * time.Second
)

type (
	// daemon is one VM: an address, a way to the store, and the process that runs now.
	daemon struct {
		harness      *harness
		config       stand.Daemon
		settingsPath string
		storeProxy   *proxy
		logFile      *os.File

		mu      sync.Mutex
		process *process
	}

	// process is one life of a daemon.
	process struct {
		command *exec.Cmd
		done    chan struct{}
		err     error
		// listening tells that it has begun to listen. Before that a signal to stop ends it at once, as any program
		// that has just begun, so none is sent.
		listening bool
		// stopSentAt is when it was told to stop; zero before.
		stopSentAt time.Time
		// disrupted tells that it was paused or killed, so that nothing is promised of how it ends.
		disrupted bool
	}
)

func newDaemon(h *harness, name types.VMID) (*daemon, error) {
	storeProxy, err := newProxy(h.clock, h.platform.Address)
	if err != nil {
		return nil, err
	}
	config, err := stand.NewDaemon(name, storeProxy.address, h.platform.Address)
	if err != nil {
		return nil, err
	}
	config.Grace = drainTimeout
	settingsPath, err := config.WriteSettings(h.config.Directory)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(h.config.Directory, string(name)+".log")
	logFile, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode)
	if err != nil {
		return nil, errs.New(errs.Internal, "opening a log: %v", err)
	}
	return &daemon{harness: h, config: config, settingsPath: settingsPath, storeProxy: storeProxy, logFile: logFile}, nil
}

// start starts a process unless one runs.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process != nil && d.process.isRunning() {
		return nil
	}
	_, port, err := net.SplitHostPort(string(d.config.Metrics))
	if err != nil {
		return errs.New(errs.Invalid, "metrics address: %v", err)
	}
	command := d.harness.config.Command
	arguments := append(append([]string{}, command[1:]...), "--settings", d.settingsPath, "--metrics-port", port)
	p := &process{command: exec.Command(command[0], arguments...), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = d.logFile, d.logFile
	if err := p.command.Start(); err != nil {
		return errs.New(errs.Internal, "starting a daemon: %v", err)
	}
	d.process = p
	go d.reap(p)
	go d.awaitListening(p)
	return nil
}

// awaitListening waits until a process listens.
func (d *daemon) awaitListening(p *process) {
	for deadline := d.harness.clock.Now().Add(listenTimeout); p.isRunning(); d.harness.clock.Sleep(pollInterval) {
		if c, err := net.Dial("tcp", string(d.config.Ready)); err == nil {
			// Nothing is asked on it.
			_ = c.Close()
			d.mu.Lock()
			p.listening = true
			d.mu.Unlock()
			return
		}
		if d.harness.clock.Now().After(deadline) && d.isUndisrupted() {
			d.harness.recorder.addViolation("daemon %s does not listen %s after its start", d.config.Name, listenTimeout)
			return
		}
	}
}

// reap takes in the end of a process.
func (d *daemon) reap(p *process) {
	err := p.command.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	p.err = err
	close(p.done)
	switch {
	case p.disrupted:
	case p.stopSentAt.IsZero():
		d.harness.recorder.addViolation("daemon %s ended by itself: %v", d.config.Name, err)
	case err != nil:
		d.harness.recorder.addViolation("daemon %s was told to stop and ended with %v", d.config.Name, err)
	case d.harness.clock.Since(p.stopSentAt) > exitTimeout:
		d.harness.recorder.addViolation("daemon %s took %s to stop", d.config.Name, d.harness.clock.Since(p.stopSentAt))
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

// signal sends a signal to the process that runs, if one does; harm tells that nothing is promised of it any more.
func (d *daemon) signal(s syscall.Signal, disrupts bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil || !d.process.isRunning() {
		return
	}
	d.process.disrupted = d.process.disrupted || disrupts
	// The process may end in this moment, which reap takes in.
	_ = d.process.command.Process.Signal(s)
}

// isListening tells whether the daemon's process listens.
func (d *daemon) isListening() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process != nil && d.process.listening
}

// terminate tells the process to stop; false means that it does not listen yet.
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

// awaitExit waits until the process has ended, and kills it when it does not.
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

// isUndisrupted tells whether the daemon's process runs and was never paused or killed.
func (d *daemon) isUndisrupted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process != nil && d.process.isRunning() && !d.process.disrupted
}

// close ends the process, if one runs, and all that belongs to the daemon.
func (d *daemon) close() {
	d.signal(syscall.SIGKILL, true)
	d.mu.Lock()
	p := d.process
	d.mu.Unlock()
	if p != nil {
		<-p.done
	}
	d.storeProxy.close()
	// The log was written by the processes, not through this file.
	_ = d.logFile.Close()
}
