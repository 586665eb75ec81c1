// Command stand plays one case of the review: it starts the daemons of the project as processes of their own, stands in for the
// platform's store, runners, operator and clients on loopback, and checks the rule of the case.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

const (
	host   = "desk.example"
	prefix = "/roster/"
	// quickPrefix is the route for short jobs.
	quickPrefix = "/check/"

	// The runners have 64 cores each, and stand in one rack. That with the index kindB is of kind b, the others are of kind a.
	runnerCount = 8
	kindB       = 1
)

type (
	// play is the state of one case.
	play struct {
		rec     *record
		store   *store
		daemons []*daemon
		runners []*runner
		trouble bool
	}

	step struct {
		Count        int    `json:"count"`
		CPU          int64  `json:"cpu"`
		MemMB        int64  `json:"mem-mb"`
		EstimateMs   int64  `json:"estimated-ms,omitempty"`
		Requirements string `json:"requirements,omitempty"`
		After        []int  `json:"after,omitempty"`
	}

	job struct {
		Spec  string `json:"spec"`
		Steps []step `json:"steps"`
	}
)

// cases holds the cases by their folder. Each returns the breaches of its rule, or an error if it could not be played.
var cases = map[string]func(*play) ([]string, error){}

func main() {
	name := flag.String("case", "", "the folder of the case")
	out := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*name, *out))
}

func runCase(name, out string) int {
	playCase, ok := cases[name]
	rec, err := newRecord(out)
	if !ok || err != nil {
		fmt.Println("no such case, or no record:", name, err)
		return failed
	}
	defer rec.close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("logs of the daemons:", folder)
	}
	p := &play{rec: rec, store: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	defer p.end()
	if err := p.begin(folder); err != nil {
		fmt.Println("the case can't run:", err)
		return failed
	}
	breaches, err := playCase(p)
	if err != nil {
		rec.note("the case can't run: %v", err)
		fmt.Println("the case can't run:", err)
		return failed
	}
	for _, b := range breaches {
		rec.note("broken: %s", b)
	}
	if len(breaches) > 0 {
		fmt.Printf("broken, %d times; the first: %s\n", len(breaches), breaches[0])
		return broken
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return held
}

// begin starts the store, the first desired state, the runners and the daemons, and waits until the daemons are ready.
func (p *play) begin(folder string) error {
	address, err := serve("", p.store.handler())
	if err != nil {
		return err
	}
	p.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{
				"name": "roster", "host": host, "prefix": prefix, "service": "desk", "priority": 2, "max-attempts": 4, "stretch": 4.0, "target-latency-ms": 3000,
			},
			map[string]any{
				"name": "check", "host": host, "prefix": quickPrefix, "service": "desk", "priority": 0, "max-attempts": 3, "stretch": 1.5, "target-latency-ms": 400,
			},
		},
		"services": []any{map[string]any{"name": "desk", "enforces-capacity": false}},
		"limits":   map[string]any{"max-body-bytes": 262144},
	})
	zones := []struct{ zone, region string }{{"carthage", "tunis-north"}, {"ariana", "tunis-north"}, {"sousse", "sahel-south"}}
	for i := range runnerCount {
		c := runnerConfig{
			id: fmt.Sprintf("i-%04d", i), zone: zones[i%len(zones)].zone, labels: []string{"a", "r0"}, cpu: 64000, mem: 262144,
		}
		if i == kindB {
			c.labels[0] = "b"
		}
		r, err := startRunner(c, p.store, p.rec)
		if err != nil {
			return err
		}
		p.runners = append(p.runners, r)
	}
	for i, z := range zones {
		d, err := newDaemon(1+i, z.zone, z.region, address, folder, p.rec)
		if err != nil {
			return err
		}
		p.daemons = append(p.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range p.daemons {
		if !p.await(10*time.Second, d.isReady) {
			return fmt.Errorf("%s isn't ready", d.name)
		}
	}
	// The new leader has to meet the runners first.
	time.Sleep(2 * time.Second)
	return nil
}

func (p *play) end() {
	for _, d := range p.daemons {
		d.end()
	}
}

// await waits until the condition holds, and reports whether it does.
func (p *play) await(limit time.Duration, condition func() bool) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// leader returns the daemon that wrote the leader record last, as the store shows it.
func (p *play) leader() *daemon {
	value := p.store.read("Flow/Control/Lead")
	var record struct {
		Target struct {
			VM string `json:"VM"`
		} `json:"Target"`
	}
	if json.Unmarshal(value, &record) != nil {
		return nil
	}
	for _, d := range p.daemons {
		if d.name == record.Target.VM {
			return d
		}
	}
	return nil
}

// submit hands a job in on the route for long jobs.
func (p *play) submit(id string, j job) bool { return p.submitTo(prefix, id, j) }

// submitTo hands a job in as a client does, with four retries at other daemons, and reports whether it was accepted.
func (p *play) submitTo(route, id string, j job) bool {
	for try := range 5 {
		d := p.daemons[(int(id[len(id)-1])+try)%len(p.daemons)]
		if a := d.call("POST", route+id, j); a.err == nil && a.status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// reachableRunnerOf returns the runner that a task is at work on, unless that is cut off, or nil.
func (p *play) reachableRunnerOf(task string) *runner {
	for _, r := range p.runners {
		r.mu.Lock()
		found := r.running[task] != nil && r.healed == nil
		r.mu.Unlock()
		if found {
			return r
		}
	}
	return nil
}

// awaitEnd asks for the state of a job until it has ended, and returns the last answer.
func (p *play) awaitEnd(id string) string {
	state := ""
	p.await(30*time.Second, func() bool {
		time.Sleep(300 * time.Millisecond)
		state = string(p.daemons[0].call("GET", prefix+id, nil).body)
		return strings.Contains(state, "completed") || strings.Contains(state, "failed")
	})
	return state
}

// cores returns the cores of all runners that are up, in thousandths.
func (p *play) cores() int64 {
	var n int64
	for _, r := range p.runners {
		r.mu.Lock()
		if !r.lost {
			n += r.config.cpu
		}
		r.mu.Unlock()
	}
	return n
}

// freeCores returns what nothing uses of them, if each task uses one core.
func (p *play) freeCores() int64 {
	return p.cores() - 1000*int64(p.rec.countRunning())
}
