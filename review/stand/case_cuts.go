package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["cuts"] = playCuts }

const (
	cutJob  = "c0ffee0012345679"
	cutTask = cutJob + ".0.0.0"
	// cutTime is the site's for_s of node_cut, and cutAge how long the task has run by then.
	cutTime  = 5500 * time.Millisecond
	cutAge   = time.Second
	cutCount = 5
)

// playCuts hands in a job of one task and cuts the runner off that it runs on, five times in all, one runner at a time. No runner crashes,
// and no run of the task ends failed.
func playCuts(p *play) ([]string, error) {
	if !p.submit(cutJob, job{Spec: "work 9000 9001", Steps: []step{{Count: 1, CPU: 4000, MemMB: 4096, EstimateMs: 9000}}}) {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	for n := range cutCount {
		var at *runner
		if !p.await(15*time.Second, func() bool { at = p.reachableRunnerOf(cutTask); return at != nil }) {
			p.rec.note("the task doesn't run any more")
			break
		}
		time.Sleep(cutAge)
		if p.trouble {
			p.rec.note("cut %d: runner %s", n+1, at.config.id)
			at.cut(cutTime)
		}
	}
	state := p.awaitEnd(cutJob)
	if strings.Contains(state, "failed") && p.rec.countEnds("failed") == 0 {
		return []string{fmt.Sprintf("job %s is shown as failed, though no run of it has ended failed, no runner has crashed and nobody has cancelled it", cutJob)}, nil
	}
	if !strings.Contains(state, "completed") {
		return nil, fmt.Errorf("the job isn't completed: %s", state)
	}
	return nil, nil
}
