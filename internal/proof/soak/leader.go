package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/every"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/plat/meter"
)

const (
	// maxTermless is how long the leader record may name a daemon without a term: three leases.
	maxTermless = 3 * elect.DefaultTTL
	// serviceTimeout is how long after a power loss has ended callers may wait until a job is accepted again, and calmTime how long
	// calls go on after the last one.
	serviceTimeout = 12 * time.Second
	calmTime       = 14 * time.Second
	// leaderPollInterval is the interval at which the recorded leader is asked for its term, leaderPollTimeout limits one question.
	leaderPollInterval = 200 * time.Millisecond
	leaderPollTimeout  = 500 * time.Millisecond
	termlessMetric     = "magnoliawalk_Elect_TermlessFor"
	// All VMs have power again between minOutage and maxOutage after they lost it, at most acceptTimeout after it was due: it is lost
	// right after a job was accepted.
	minOutage     = 600 * time.Millisecond
	maxOutage     = 1500 * time.Millisecond
	acceptTimeout = 2 * time.Second
)

// leader returns the daemon that the leader record names, or nil.
func (h *harness) leader() *daemon {
	control := h.platform.Memory.As("dc1", meter.Discard())
	page, err := control.List(context.Background(), elect.LeaderKey)
	if err != nil || len(page.Entries) == 0 {
		return nil
	}
	var record elect.Leader
	if json.Unmarshal(page.Entries[0].Value, &record) != nil {
		return nil
	}
	for _, d := range h.daemons {
		if d.config.Name == record.Target.VM {
			return d
		}
	}
	return nil
}

// watchLeader records a violation for each daemon that the leader record names for longer than maxTermless while it has no term, until
// ctx ends.
func (h *harness) watchLeader(ctx context.Context) {
	client := &http.Client{Timeout: leaderPollTimeout}
	defer client.CloseIdleConnections()
	reported := false
	for ctx.Err() == nil {
		termless := time.Duration(0)
		d := h.leader()
		if d != nil {
			termless = d.termlessFor(client)
		}
		if termless > maxTermless && !reported {
			h.recorder.addViolation("the leader record names %s, which has had no term for %s", d.config.Name, termless)
		}
		reported = termless > maxTermless
		h.mu.Lock()
		h.longestTermless = max(h.longestTermless, termless)
		h.mu.Unlock()
		every.Sleep(ctx, h.clock, leaderPollInterval)
	}
}

// termlessFor asks the daemon for how long the leader record has named it without a term; zero if it gives no answer.
func (d *daemon) termlessFor(client *http.Client) time.Duration {
	answer, err := client.Get("http://" + string(d.config.Metrics) + "/metrics")
	if err != nil {
		return 0
	}
	defer func() {
		// The body was read as far as needed.
		_ = answer.Body.Close()
	}()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		var milliseconds int64
		if n, _ := fmt.Sscanf(lines.Text(), termlessMetric+" %d", &milliseconds); n == 1 {
			return time.Duration(milliseconds) * time.Millisecond
		}
	}
	return 0
}

// losePower kills all daemons at once, as often as configured, and checks that jobs are accepted again.
func (h *harness) losePower(ctx context.Context) {
	if h.config.PowerLosses == 0 {
		return
	}
	s := newFaultSeries(h, powerStream)
	for range h.config.PowerLosses {
		began := h.elapsed()
		for h.elapsed() < began+acceptTimeout && !h.recorder.hasAcceptedSince(began) {
			h.clock.Sleep(time.Millisecond)
		}
		s.cutPower(ctx, minOutage+time.Duration(s.rand.Int64N(int64(maxOutage-minOutage))))
		every.Sleep(ctx, h.clock, s.randomDuration())
	}
	restored := h.elapsed()
	every.Sleep(ctx, h.clock, serviceTimeout)
	if ctx.Err() == nil && !h.recorder.hasAcceptedSince(restored) {
		h.recorder.addViolation("no job was accepted within %s after the last failure", serviceTimeout)
	}
	every.Sleep(ctx, h.clock, calmTime-serviceTimeout)
}

// cutPower kills all daemons and starts them again after the outage.
func (s *faultSeries) cutPower(ctx context.Context, outage time.Duration) {
	s.harness.recordFault("kill all", "for %s", outage)
	for _, d := range s.harness.daemons {
		d.signal(syscall.SIGKILL, true)
	}
	every.Sleep(ctx, s.harness.clock, outage)
	for _, d := range s.harness.daemons {
		s.harness.ensureRunning(d)
	}
}
