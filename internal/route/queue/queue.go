// Package queue holds the requests that wait for a slot of a runner. It serves the more urgent classes first and the
// teams of a class in turn. The caller bounds the number of waiting requests of each class.
package queue

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const (
	classCount = 3
	// lowestClassTurn is the period, in pops, at which the least urgent waiting class goes first, so that no class
	// starves.
	lowestClassTurn = 16
)

type (
	// Item is one waiting request.
	Item struct {
		Team    types.TeamID
		Class   types.Class
		Service types.ServiceName
		// Deadline is when the caller rejects the item if it still waits, which may be before the deadline of the
		// request. The queue does not use it.
		Deadline time.Time
		// Since is when the item began to wait.
		Since time.Time
		// Value is the caller's own data; the queue does not use it.
		Value any

		removed bool
	}

	// Queue holds the waiting requests of one service. It is not safe for concurrent use.
	Queue struct {
		byClass [classCount]classQueue
		pops    int
	}

	// classQueue holds the waiting requests of one class and serves its teams in turn.
	classQueue struct {
		teams map[types.TeamID]*teamQueue
		// order lists the teams with waiting requests, the next to be served first.
		order []types.TeamID
		count int
	}

	teamQueue struct {
		items []*Item
	}
)

// Push adds an item at the end of its team's queue.
func (q *Queue) Push(x *Item) {
	q.byClass[x.Class.Rank()].push(x)
}

// Head returns the item that Pop would return, or nil.
func (q *Queue) Head() *Item {
	if r := q.nextRank(); r >= 0 {
		return q.byClass[r].head()
	}
	return nil
}

// Oldest returns the item that has waited longest, or nil.
func (q *Queue) Oldest() *Item {
	var found *Item
	for i := range q.byClass {
		for _, t := range q.byClass[i].teams {
			if x := t.items[0]; found == nil || x.Since.Before(found.Since) {
				found = x
			}
		}
	}
	return found
}

// Pop removes and returns the next item, or nil: the most urgent class first, its teams in turn. Every
// lowestClassTurn-th pop serves the least urgent waiting class instead.
func (q *Queue) Pop() *Item {
	r := q.nextRank()
	if r < 0 {
		return nil
	}
	q.pops++
	return q.byClass[r].pop()
}

// Remove removes a waiting item. It returns false when the item does not wait in this queue.
func (q *Queue) Remove(x *Item) bool {
	if x.removed {
		return false
	}
	c := &q.byClass[x.Class.Rank()]
	t, ok := c.teams[x.Team]
	if !ok {
		return false
	}
	for i, y := range t.items {
		if y == x {
			t.items = append(t.items[:i], t.items[i+1:]...)
			c.markRemoved(x)
			return true
		}
	}
	return false
}

// Victim returns the item to displace in favour of a new one of the class and team: the last item of the team with the
// most items waiting in the class. It returns nil unless that team has at least two more waiting than the given one.
func (q *Queue) Victim(class types.Class, team types.TeamID) *Item {
	c := &q.byClass[class.Rank()]
	x := c.lastOfLongest()
	if x == nil || x.Team == team || c.waitingOf(x.Team) <= c.waitingOf(team)+1 {
		return nil
	}
	return x
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	sum := 0
	for i := range q.byClass {
		sum += q.byClass[i].count
	}
	return sum
}

// Waiting returns the number of waiting items of a class.
func (q *Queue) Waiting(class types.Class) int {
	return q.byClass[class.Rank()].count
}

// Ahead returns the number of waiting items that are served before a new one of the class: those of the class and of
// more urgent ones.
func (q *Queue) Ahead(class types.Class) int {
	sum := 0
	for r := range class.Rank() + 1 {
		sum += q.byClass[r].count
	}
	return sum
}

// Each calls visit for every waiting item, in no particular order.
func (q *Queue) Each(visit func(x *Item)) {
	for i := range q.byClass {
		for _, t := range q.byClass[i].teams {
			for _, x := range t.items {
				visit(x)
			}
		}
	}
}

// nextRank returns the rank of the class that the next pop serves, or -1 when no item waits.
func (q *Queue) nextRank() int {
	if q.pops%lowestClassTurn == lowestClassTurn-1 {
		return q.lowestWaitingRank()
	}
	for r := range q.byClass {
		if q.byClass[r].count > 0 {
			return r
		}
	}
	return -1
}

func (q *Queue) lowestWaitingRank() int {
	for r := classCount - 1; r >= 0; r-- {
		if q.byClass[r].count > 0 {
			return r
		}
	}
	return -1
}

func (c *classQueue) push(x *Item) {
	if c.teams == nil {
		c.teams = make(map[types.TeamID]*teamQueue)
	}
	t, ok := c.teams[x.Team]
	if !ok {
		t = &teamQueue{}
		c.teams[x.Team] = t
		c.order = append(c.order, x.Team)
	}
	x.removed = false
	t.items = append(t.items, x)
	c.count++
}

func (c *classQueue) head() *Item {
	if len(c.order) == 0 {
		return nil
	}
	return c.teams[c.order[0]].items[0]
}

func (c *classQueue) pop() *Item {
	team := c.order[0]
	t := c.teams[team]
	x := t.items[0]
	t.items[0] = nil
	t.items = t.items[1:]
	c.order = append(c.order[1:], team)
	c.markRemoved(x)
	return x
}

// markRemoved accounts for an item that was taken out of its team's queue, and removes the queue when it is empty.
func (c *classQueue) markRemoved(x *Item) {
	x.removed = true
	c.count--
	if len(c.teams[x.Team].items) > 0 {
		return
	}
	delete(c.teams, x.Team)
	for i, team := range c.order {
		if team == x.Team {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

// lastOfLongest returns the last item of the team with the most items, or nil.
func (c *classQueue) lastOfLongest() *Item {
	var found *teamQueue
	for _, team := range c.order {
		if t := c.teams[team]; found == nil || len(t.items) > len(found.items) {
			found = t
		}
	}
	if found == nil {
		return nil
	}
	return found.items[len(found.items)-1]
}

func (c *classQueue) waitingOf(team types.TeamID) int {
	if t, ok := c.teams[team]; ok {
		return len(t.items)
	}
	return 0
}
