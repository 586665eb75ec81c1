// Package queue holds the requests that wait for a slot: bounded by class, fair between teams.
package queue

import (
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const (
	classes = 3
	// lowEvery is how often, in pops, the least urgent waiting class goes first, so that none starves.
	lowEvery = 16
)

type (
	// Item is one waiting request.
	Item struct {
		Team     types.TeamID
		Class    types.Class
		Service  types.ServiceName
		Deadline time.Time
		Since    time.Time
		// Value belongs to the owner of the queue.
		Value any

		removed bool
	}

	// Queue is the waiting requests of one service. It is not safe for concurrent use.
	Queue struct {
		lanes [classes]lane
		pops  int
	}

	// lane is the waiting requests of one class, served team by team in turn.
	lane struct {
		teams map[types.TeamID]*line
		order []types.TeamID
		count int
	}

	line struct {
		items []*Item
	}
)

// Push adds an item at the end of its team's line.
func (q *Queue) Push(x *Item) {
	q.lanes[x.Class.Rank()].push(x)
}

// Head returns the item that Pop would return, or nil.
func (q *Queue) Head() *Item {
	if r := q.rank(); r >= 0 {
		return q.lanes[r].head()
	}
	return nil
}

// Oldest returns the item that waits longest, or nil.
func (q *Queue) Oldest() *Item {
	var found *Item
	for i := range q.lanes {
		for _, line := range q.lanes[i].teams {
			if x := line.items[0]; found == nil || x.Since.Before(found.Since) {
				found = x
			}
		}
	}
	return found
}

// Pop removes and returns the next item, or nil: the most urgent class first, its teams in turn.
func (q *Queue) Pop() *Item {
	r := q.rank()
	if r < 0 {
		return nil
	}
	q.pops++
	return q.lanes[r].pop()
}

// Remove takes out an item that waits.
func (q *Queue) Remove(x *Item) bool {
	if x.removed {
		return false
	}
	l := &q.lanes[x.Class.Rank()]
	line, ok := l.teams[x.Team]
	if !ok {
		return false
	}
	for i, y := range line.items {
		if y == x {
			line.items = append(line.items[:i], line.items[i+1:]...)
			l.removed(x)
			return true
		}
	}
	return false
}

// Victim returns the item to shed in favour of one of the class and team: the last of the longest line of the class,
// when that team has more waiting. It returns nil when there is none.
func (q *Queue) Victim(class types.Class, team types.TeamID) *Item {
	l := &q.lanes[class.Rank()]
	x := l.longest()
	if x == nil || x.Team == team || l.length(x.Team) <= l.length(team)+1 {
		return nil
	}
	return x
}

// Len returns how many items wait.
func (q *Queue) Len() int {
	sum := 0
	for i := range q.lanes {
		sum += q.lanes[i].count
	}
	return sum
}

// Waiting returns how many items of a class wait.
func (q *Queue) Waiting(class types.Class) int {
	return q.lanes[class.Rank()].count
}

// Ahead returns how many items would be served before a new one of the class.
func (q *Queue) Ahead(class types.Class) int {
	sum := 0
	for r := range class.Rank() + 1 {
		sum += q.lanes[r].count
	}
	return sum
}

// Each calls visit for every item that waits.
func (q *Queue) Each(visit func(x *Item)) {
	for i := range q.lanes {
		for _, line := range q.lanes[i].teams {
			for _, x := range line.items {
				visit(x)
			}
		}
	}
}

func (q *Queue) rank() int {
	if q.pops%lowEvery == lowEvery-1 {
		return q.last()
	}
	for r := range q.lanes {
		if q.lanes[r].count > 0 {
			return r
		}
	}
	return -1
}

func (q *Queue) last() int {
	for r := classes - 1; r >= 0; r-- {
		if q.lanes[r].count > 0 {
			return r
		}
	}
	return -1
}

func (l *lane) push(x *Item) {
	if l.teams == nil {
		l.teams = make(map[types.TeamID]*line)
	}
	t, ok := l.teams[x.Team]
	if !ok {
		t = &line{}
		l.teams[x.Team] = t
		l.order = append(l.order, x.Team)
	}
	x.removed = false
	t.items = append(t.items, x)
	l.count++
}

func (l *lane) head() *Item {
	if len(l.order) == 0 {
		return nil
	}
	return l.teams[l.order[0]].items[0]
}

func (l *lane) pop() *Item {
	team := l.order[0]
	t := l.teams[team]
	x := t.items[0]
	t.items[0] = nil
	t.items = t.items[1:]
	l.order = append(l.order[1:], team)
	l.removed(x)
	return x
}

// removed notes that an item left its line, and drops a line that is empty.
func (l *lane) removed(x *Item) {
	x.removed = true
	l.count--
	if len(l.teams[x.Team].items) > 0 {
		return
	}
	delete(l.teams, x.Team)
	for i, team := range l.order {
		if team == x.Team {
			l.order = append(l.order[:i], l.order[i+1:]...)
			return
		}
	}
}

func (l *lane) longest() *Item {
	var found *line
	for _, team := range l.order {
		if t := l.teams[team]; found == nil || len(t.items) > len(found.items) {
			found = t
		}
	}
	if found == nil {
		return nil
	}
	return found.items[len(found.items)-1]
}

func (l *lane) length(team types.TeamID) int {
	if t, ok := l.teams[team]; ok {
		return len(t.items)
	}
	return 0
}
