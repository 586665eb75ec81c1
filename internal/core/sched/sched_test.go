package sched

import (
	"runtime"
	"sync"
	"testing"
	"time"
)

// A process whose goroutines wait for each other must not look idle: the timers of the Go runtime are on time even then.
func TestWaitsShowABusyProcessor(t *testing.T) {
	const (
		goroutines = 100
		work       = 2 * time.Millisecond
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	m := NewMeter()
	var done sync.WaitGroup
	for range goroutines {
		done.Go(func() {
			for range 3 {
				for began := time.Now(); time.Since(began) < work; {
					continue
				}
				runtime.Gosched()
				time.Sleep(time.Microsecond)
			}
		})
	}
	done.Wait()
	if got := m.Recent(); got < 10*work {
		t.Errorf("%d goroutines with %s of work each waited %s, want at least %s", goroutines, work, got, 10*work)
	}
	time.Sleep(20 * time.Millisecond)
	if got := m.Recent(); got > 10*work {
		t.Errorf("an idle process waited %s, want at most %s", got, 10*work)
	}
}
