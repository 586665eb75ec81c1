package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["starved"] = playStarved }

const (
	// quickRate is how many short jobs a second are handed in, that of the site's avail-check.
	quickRate = 48
	quickTime = 12 * time.Second
	// victimsAfter is when the jobs are handed in that are watched.
	victimsAfter = 9500 * time.Millisecond
	victims      = 3
	// finishTime is finish_s.
	finishTime = 14 * time.Second
)

// playStarved loses the only runner of kind b for good, while short jobs come that need this kind. It watches jobs of two steps that may
// run on any runner, and whose client gives no estimate.
func playStarved(p *play) ([]string, error) {
	if p.trouble {
		p.rec.note("runner %s is lost for good", p.runners[kindB].config.id)
		p.runners[kindB].lose()
	}
	began := time.Now()
	var wg sync.WaitGroup
	var watched []string
	for i := range int(quickTime.Seconds()) * quickRate {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / quickRate)))
		wg.Go(func() {
			p.submitTo(quickPrefix, fmt.Sprintf("%016x", 0xb100000000000000+uint64(i)), job{
				Spec: "work 400 900", Steps: []step{{Count: 1, CPU: 1000, MemMB: 512, EstimateMs: 640, Requirements: "b"}},
			})
		})
		if len(watched) < victims && time.Since(began) > victimsAfter {
			id := fmt.Sprintf("%016x", 0xa100000000000000+uint64(i))
			watched = append(watched, id)
			if !p.submitTo(quickPrefix, id, job{Spec: "work 8000 8500", Steps: []step{
				{Count: 2, CPU: 1000, MemMB: 512},
				{Count: 2, CPU: 1000, MemMB: 512, After: []int{0}},
			}}) {
				return nil, fmt.Errorf("a job that is watched wasn't accepted")
			}
		}
	}
	wg.Wait()
	p.rec.note("end of the traffic")
	time.Sleep(finishTime)
	var out []string
	for _, id := range watched {
		a := p.daemons[0].call("GET", quickPrefix+id, nil)
		idle, ok := p.rec.idleFor(id)
		if strings.Contains(string(a.body), "completed") || !ok || idle < 3*time.Second {
			continue
		}
		if free := p.freeCores(); free < p.cores()/2 {
			continue
		}
		out = append(out, fmt.Sprintf("job %s is shown as %.40s, and has had nothing running for %.1f s, though its second step's turn has come and most of the runners' cores are free",
			id, strings.TrimSpace(string(a.body)), idle.Seconds()))
	}
	return out, nil
}
