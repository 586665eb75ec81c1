package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["ends"] = playEnds }

const (
	endsJobs = 16
	// endsTasks is the width of each job; the widest of the site have 60 tasks.
	endsTasks = 40
	endsAll   = endsJobs * endsTasks
	// The tasks work for endsLeastMs to endsMostMs.
	endsLeastMs = 5000
	endsMostMs  = 5600
)

// playEnds hands in jobs with many small tasks that one runner has room for, and kills the leader as the first of them ends: the next
// leader finds more ends on the runner than one answer lists.
func playEnds(p *play) ([]string, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	spec := fmt.Sprintf("work %d %d", endsLeastMs, endsMostMs)
	for i := range endsJobs {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0xa1b2c3d400000000+uint64(i))
			ok := p.submit(id, job{Spec: spec, Steps: []step{{
				Count: endsTasks, CPU: 100, MemMB: 256, EstimateMs: 5300, Requirements: "b",
			}}})
			mu.Lock()
			defer mu.Unlock()
			if ok {
				accepted++
			}
		})
	}
	wg.Wait()
	if accepted != endsJobs {
		return nil, fmt.Errorf("%d of %d jobs were accepted", accepted, endsJobs)
	}
	if !p.await(10*time.Second, func() bool { return p.rec.countDone() > 0 }) {
		return nil, fmt.Errorf("no task has ended")
	}
	leader := p.leader()
	if leader == nil {
		return nil, fmt.Errorf("no daemon leads")
	}
	p.rec.note("%d tasks are at work, %s leads", p.rec.countRunning(), leader.name)
	if p.trouble {
		leader.signal(syscall.SIGKILL)
	}
	if !p.await(30*time.Second, func() bool { return p.rec.countDone() == endsAll }) {
		return nil, fmt.Errorf("%d of %d tasks have ended done", p.rec.countDone(), endsAll)
	}
	// Time for what is started again, and for the ends that are taken note of late.
	time.Sleep(10 * time.Second)
	return p.rec.twice(), nil
}
