package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["crashes"] = playCrashes }

const (
	crashJob     = "c0ffee0012345678"
	crashDown    = 3 * time.Second
	crashAge     = 1500 * time.Millisecond
	crashCount   = 4
	crashTask    = crashJob + ".0.0.0"
	crashTimeout = 25 * time.Second
)

// playCrashes hands in a job of one task and crashes the runner that it runs on, four times in all, one runner at a time. No run of the
// task ends failed.
func playCrashes(p *play) ([]string, error) {
	if !p.submit(crashJob, job{Spec: "work 9000 9001", Steps: []step{{Count: 1, CPU: 4000, MemMB: 4096, EstimateMs: 9000}}}) {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	for n := range crashCount {
		var at *runner
		if !p.await(crashTimeout, func() bool { at = p.runnerOf(crashTask); return at != nil }) {
			p.rec.note("the task doesn't run any more")
			break
		}
		time.Sleep(crashAge)
		if p.trouble {
			p.rec.note("crash %d: runner %s", n+1, at.config.id)
			at.crash(crashDown)
		}
	}
	state := ""
	p.await(30*time.Second, func() bool {
		time.Sleep(300 * time.Millisecond)
		a := p.daemons[0].call("GET", prefix+crashJob, nil)
		state = string(a.body)
		return strings.Contains(state, "completed") || strings.Contains(state, "failed")
	})
	if strings.Contains(state, "failed") && p.rec.countEnds("failed") == 0 {
		return []string{fmt.Sprintf("job %s is shown as failed, though no run of it has ended failed and nobody has cancelled it", crashJob)}, nil
	}
	if !strings.Contains(state, "completed") {
		return nil, fmt.Errorf("the job isn't completed: %s", state)
	}
	return nil, nil
}
