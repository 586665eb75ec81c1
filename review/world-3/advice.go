//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	decisionTime = 5 * time.Millisecond
	perItemTime  = 200 * time.Microsecond
	ticketTime   = time.Second
)

// policy is the recommendation of a queue as a desired state holds it.
var policy = map[string]any{"decision-ms": 5.0, "per-item-ms": 0.2, "validity-ms": 1000.0}

type (
	// advice is a stand-in of the service at `recommendation`. It handles one call at a time.
	advice struct {
		world *world
		turn  sync.Mutex

		mu      sync.Mutex
		tickets map[string]ticket
	}

	ticket struct {
		step   string
		runner string
		until  time.Time
	}
)

func (a *advice) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(decisionTime + time.Duration(len(body.Workers))*perItemTime)
	a.turn.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	good := [][]string{}
	for _, id := range body.Workers {
		if !mayRun(id) {
			continue
		}
		name := fmt.Sprintf("t%d", len(a.tickets))
		a.tickets[name] = ticket{step: body.Step, runner: id, until: time.Now().Add(ticketTime)}
		good = append(good, []string{id, name})
	}
	a.world.note("advice on %s: asked %v, good %v", body.Step, body.Workers, good)
	reply(w, http.StatusOK, map[string]any{"good": good})
}

// mayRun reports whether the advice service allows a runner, which does not change: all but the third of each service.
func mayRun(runner string) bool {
	return !strings.HasSuffix(runner, "-2")
}

// isValid reports whether a start of the task on the runner carries a valid ticket.
func (a *advice) isValid(name, task, runner string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[name]
	return ok && t.runner == runner && strings.HasPrefix(task, t.step+".") && time.Now().Before(t.until)
}
