package order

import (
	"slices"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/tasks"
)

const (
	// maxServiceWait is how long a task of a service waits, in the order of the priorities, before it is served ahead of all else.
	maxServiceWait = time.Second
	// minServiceRoom is for how many tasks there must be room for that, so that the last room is left to more urgent work.
	minServiceRoom = 2
)

// newServiceEntry returns a step of a service with its rank. It has no end, so it has no objective that it could miss: its tasks are ranked
// by how long they have been without a run.
func newServiceEntry(s *tasks.Step) entry {
	since := s.WaitsSince()
	return entry{step: s, tier: inTime, latestStart: since, rank: since}
}

// serveServices serves the steps of services that have waited for long and have room to spare, before any capacity is kept for gangs. It
// returns the other entries.
func (p *pass) serveServices(entries []entry, compare ranking) []entry {
	var services []entry
	for _, e := range entries {
		if e.step.Spec.Service && p.now.Sub(e.rank) >= maxServiceWait {
			services = append(services, e)
		}
	}
	if len(services) == 0 {
		return entries
	}
	slices.SortFunc(services, compare)
	served := make(map[*tasks.Step]bool)
	// Room only shrinks here, so a demand that finds too little finds none later.
	lacksRoom := make(map[groupDemand]bool)
	for _, e := range services {
		key := groupDemandOf(e.step)
		if p.stepsLeft == 0 || lacksRoom[key] {
			continue
		}
		if lacksRoom[key] = !p.hasSpareRoom(e.step); !lacksRoom[key] && p.takesTurn(e.step) {
			p.stepsLeft--
			p.serveStep(e.step)
			served[e.step] = true
		}
	}
	return slices.DeleteFunc(entries, func(e entry) bool { return served[e.step] })
}

// hasSpareRoom reports whether there is room for minServiceRoom times the tasks of the step that start together.
func (p *pass) hasSpareRoom(s *tasks.Step) bool {
	wanted := minServiceRoom
	if s.Spec.Gang {
		wanted *= len(s.Tasks)
	}
	for _, r := range p.roomyRunners(s) {
		if !canRun(s, r) {
			continue
		}
		if wanted -= p.countFitting(s, r); wanted <= 0 {
			return true
		}
	}
	return false
}
