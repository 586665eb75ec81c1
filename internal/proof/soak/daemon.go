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
	// graceTime is the time between the signal to stop and the end of a daemon.
	graceTime = 5 * time.Second
	// exitLimit is how long a daemon may take to end after it was told to: its grace time, and what a busy machine
	// takes to see that it has ended.
	exitLimit = 7 * time.Second
	logMode   = 0o600
	// listenLimit is how long a daemon may take until it listens.
	listenLimit = 15 * time.Second
)

type (
	// daemon is one VM: an address, a way to the store, and the process that runs now.
	daemon struct {
		world    *world
		where    stand.Daemon
		settings string
		store    *proxy
		log      *os.File

		mu  sync.Mutex
		now *process
	}

	// process is one life of a daemon.
	process struct {
		command *exec.Cmd
		done    chan struct{}
		err     error
		// serving tells that it has begun to listen. Before that a signal to stop ends it at once, as any program
		// that has just begun, so none is sent.
		serving bool
		// told is when it was told to stop; zero before.
		told time.Time
		// harmed tells that it was paused or killed, so that nothing is promised of how it ends.
		harmed bool
	}
)

func newDaemon(w *world, name types.VMID) (*daemon, error) {
	store, err := newProxy(w.clock, w.platform.Address)
	if err != nil {
		return nil, err
	}
	where, err := stand.NewDaemon(name, store.address, w.platform.Address)
	if err != nil {
		return nil, err
	}
	where.Grace = graceTime
	settings, err := where.WriteSettings(w.config.Directory)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.config.Directory, string(name)+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, errs.New(errs.Internal, "opening a log: %v", err)
	}
	return &daemon{world: w, where: where, settings: settings, store: store, log: log}, nil
}

// start starts a process unless one runs.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now != nil && d.now.alive() {
		return nil
	}
	_, port, err := net.SplitHostPort(string(d.where.Metrics))
	if err != nil {
		return errs.New(errs.Invalid, "metrics address: %v", err)
	}
	command := d.world.config.Command
	arguments := append(append([]string{}, command[1:]...), "--settings", d.settings, "--metrics-port", port)
	p := &process{command: exec.Command(command[0], arguments...), done: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = d.log, d.log
	if err := p.command.Start(); err != nil {
		return errs.New(errs.Internal, "starting a daemon: %v", err)
	}
	d.now = p
	go d.reap(p)
	go d.awaitListening(p)
	return nil
}

// awaitListening waits until a process listens.
func (d *daemon) awaitListening(p *process) {
	for end := d.world.clock.Now().Add(listenLimit); p.alive(); d.world.clock.Sleep(pollPeriod) {
		if c, err := net.Dial("tcp", string(d.where.Ready)); err == nil {
			// Nothing is asked on it.
			_ = c.Close()
			d.mu.Lock()
			p.serving = true
			d.mu.Unlock()
			return
		}
		if d.world.clock.Now().After(end) && d.unharmed() {
			d.world.book.broke("daemon %s does not listen %s after its start", d.where.Name, listenLimit)
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
	case p.harmed:
	case p.told.IsZero():
		d.world.book.broke("daemon %s ended by itself: %v", d.where.Name, err)
	case err != nil:
		d.world.book.broke("daemon %s was told to stop and ended with %v", d.where.Name, err)
	case d.world.clock.Since(p.told) > exitLimit:
		d.world.book.broke("daemon %s took %s to stop", d.where.Name, d.world.clock.Since(p.told))
	}
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process that runs, if one does; harm tells that nothing is promised of it any more.
func (d *daemon) signal(s syscall.Signal, harm bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now == nil || !d.now.alive() {
		return
	}
	d.now.harmed = d.now.harmed || harm
	// The process may end in this moment, which reap takes in.
	_ = d.now.command.Process.Signal(s)
}

// listens tells whether the daemon's process listens.
func (d *daemon) listens() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now != nil && d.now.serving
}

// terminate tells the process to stop; false means that it does not listen yet.
func (d *daemon) terminate() bool {
	d.mu.Lock()
	serving := d.now != nil && d.now.serving
	if serving && d.now.told.IsZero() {
		d.now.told = d.world.clock.Now()
	}
	d.mu.Unlock()
	if serving {
		d.signal(syscall.SIGTERM, false)
	}
	return serving
}

// awaitExit waits until the process has ended, and kills it when it does not.
func (d *daemon) awaitExit() {
	d.mu.Lock()
	p := d.now
	d.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case <-p.done:
	case <-d.world.clock.After(exitLimit):
		d.mu.Lock()
		if !p.harmed {
			d.world.book.broke("daemon %s did not stop within %s", d.where.Name, exitLimit)
		}
		d.mu.Unlock()
		d.signal(syscall.SIGKILL, true)
		<-p.done
	}
}

// unharmed tells whether the daemon's process runs and was never paused or killed.
func (d *daemon) unharmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now != nil && d.now.alive() && !d.now.harmed
}

// close ends the process, if one runs, and all that belongs to the daemon.
func (d *daemon) close() {
	d.signal(syscall.SIGKILL, true)
	d.mu.Lock()
	p := d.now
	d.mu.Unlock()
	if p != nil {
		<-p.done
	}
	d.store.close()
	// The log was written by the processes, not through this file.
	_ = d.log.Close()
}
