package queue

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

const propertySeed = 7

func item(team string, class types.Class) *Item {
	return &Item{Team: types.TeamID(team), Class: class}
}

func wantNext(t *testing.T, q *Queue, want *Item) {
	t.Helper()
	if got := q.Pop(); got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}

func TestTeamsTakeTurns(t *testing.T) {
	q := &Queue{}
	a1, a2, a3, b1 := item("a", types.ClassNormal), item("a", types.ClassNormal), item("a", types.ClassNormal), item("b", types.ClassNormal)
	for _, x := range []*Item{a1, a2, a3, b1} {
		q.Push(x)
	}
	for _, want := range []*Item{a1, b1, a2, a3} {
		wantNext(t, q, want)
	}
}

func TestUrgentGoesFirstAndBatchDoesNotStarve(t *testing.T) {
	q := &Queue{}
	batch := item("a", types.ClassBatch)
	q.Push(batch)
	pops := 0
	for {
		q.Push(item("a", types.ClassUrgent))
		pops++
		if q.Pop() == batch {
			break
		}
	}
	if pops != lowestClassTurn {
		t.Errorf("the batch item was served after %d pops, want %d", pops, lowestClassTurn)
	}
}

func TestVictimIsOfTheTeamWithMostWaiting(t *testing.T) {
	q := &Queue{}
	for range 5 {
		q.Push(item("a", types.ClassNormal))
	}
	if x := q.Victim(types.ClassNormal, "b"); x == nil || x.Team != "a" {
		t.Errorf("got %+v, want an item of team a", x)
	}
	if x := q.Victim(types.ClassNormal, "a"); x != nil {
		t.Errorf("got %+v, want nil: a team's own request must not be shed for it", x)
	}
}

func TestCountsHoldThroughAnyOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MaxShrinkCount = 0
	properties := gopter.NewProperties(parameters)
	properties.Property("every item leaves once", prop.ForAll(func(steps []int) bool {
		q := &Queue{}
		waiting := make(map[*Item]bool)
		for _, n := range steps {
			applyStep(q, waiting, n)
			if q.Len() != len(waiting) || (q.Head() == nil) != (len(waiting) == 0) {
				return false
			}
		}
		for range len(waiting) {
			delete(waiting, q.Pop())
		}
		return len(waiting) == 0 && q.Pop() == nil && q.Oldest() == nil
	}, gen.SliceOfN(200, gen.IntRange(0, 1<<16))))
	properties.TestingRun(t)
}

func applyStep(q *Queue, waiting map[*Item]bool, n int) {
	switch n % 4 {
	case 0, 1:
		x := item(fmt.Sprint(n/4%5), types.Classes()[n/20%3])
		q.Push(x)
		waiting[x] = true
	case 2:
		delete(waiting, q.Pop())
	default:
		if x := q.Oldest(); x != nil && q.Remove(x) {
			delete(waiting, x)
		}
	}
}
