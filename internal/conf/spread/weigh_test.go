package spread

import (
	"fmt"
	"math"
	"net/rpc"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

const (
	// changesPerDay is the rate of the target.
	changesPerDay = 1100
	day           = 24 * 60 * 60
	// pollEvery is the interval that keeps polling within the bound of today's sizes.
	pollEvery = 4 * time.Second
	notePath  = "../../../docs/design/distribution.md"
)

type (
	// node is the store or a VM in the calculation.
	node struct {
		site types.Site
		// actor is the first VM of its data centre.
		actor bool
	}

	// flow follows one change from the store to every VM, each message leaving when its sender has the change.
	flow struct {
		layout  layout
		nodes   []node
		sizes   sizes
		reached map[int]time.Duration
		hops    map[int]int

		messages, bytes, crossings, crossedBytes int
	}

	// sizes are the bytes of one message of each sort, the answer included.
	sizes struct {
		whole, push, pull int
	}

	// row is the cost of one way.
	row struct {
		name                                           string
		messages, bytes, crossings, crossedBytes, hops int
		slowest                                        time.Duration
		storeCalls, linkBytesPerDay                    float64
	}

	way struct {
		name   string
		spread func(f *flow)
		// standing returns store calls a second and bytes a second over the link that are made without any change.
		standing func(f *flow) (calls, linkBytes float64)
		// storeCallsPerChange returns the calls that one change adds.
		storeCallsPerChange func(f *flow) float64
		wait                time.Duration
	}
)

func header(method peer.Method) int {
	return peer.Size(&rpc.Request{ServiceMethod: string(method), Seq: 1 << 20}) +
		peer.Size(&rpc.Response{ServiceMethod: string(method), Seq: 1 << 20})
}

func sizesOf(t *testing.T, teams int) sizes {
	t.Helper()
	before, after := document(teams, 1), document(teams, 2)
	delta, err := encodeDelta(before, after)
	if err != nil {
		t.Fatal(err)
	}
	stamp := Stamp{Revision: 1000, At: time.Unix(1_800_000_000, 123_456_789).UTC(), Digest: types.DigestOf(after)}
	update := Update{Stamp: stamp, By: "amel", Base: types.DigestOf(before), Delta: delta}
	const envelope = 200
	return sizes{
		whole: len(after)*4/3 + envelope,
		push: header(methodPush) + peer.Size(&PushArgs{Environment: production, Update: update, Age: time.Second}) +
			peer.Size(&PushReply{Have: stamp}),
		pull: header(methodPull) + peer.Size(&PullArgs{Environment: production, Have: stamp}) +
			peer.Size(&PullReply{Have: stamp, Age: time.Second}),
	}
}

func newFlow(l layout, s sizes) *flow {
	f := &flow{layout: l, sizes: s, reached: map[int]time.Duration{0: 0}, hops: map[int]int{0: 0}}
	f.nodes = append(f.nodes, node{site: types.Site{Region: l.places[0].site.Region, DataCentre: "store"}})
	for _, p := range l.places {
		for i := range p.vms {
			f.nodes = append(f.nodes, node{site: p.site, actor: i == 0})
		}
	}
	return f
}

// send passes the change on; a message to a node that has it already costs the same.
func (f *flow) send(from, to, bytes int) {
	f.messages++
	f.bytes += bytes
	a, b := f.nodes[from], f.nodes[to]
	if a.site.Region != b.site.Region {
		f.crossings++
		f.crossedBytes += bytes
	}
	at := f.reached[from] + f.layout.delay(a.site, b.site)
	if had, ok := f.reached[to]; !ok || at < had {
		f.reached[to], f.hops[to] = at, f.hops[from]+1
	}
}

func (f *flow) home(i int) bool { return f.nodes[i].site.Region == f.nodes[0].site.Region }

func (f *flow) vms(keep func(i int) bool) []int {
	var out []int
	for i := 1; i < len(f.nodes); i++ {
		if keep(i) {
			out = append(out, i)
		}
	}
	return out
}

func (f *flow) actors() []int { return f.vms(func(i int) bool { return f.nodes[i].actor }) }

// inside pushes from an actor to the other VMs of its data centre.
func (f *flow) inside(actor int) {
	for _, i := range f.vms(func(i int) bool {
		return i != actor && f.nodes[i].site.DataCentre == f.nodes[actor].site.DataCentre
	}) {
		f.send(actor, i, f.sizes.push)
	}
}

// fed returns the first actor of each region without the store, and the other actors there.
func (f *flow) fed() (first, rest []int) {
	seen := make(map[types.Region]bool)
	for _, i := range f.actors() {
		if f.home(i) {
			continue
		}
		if seen[f.nodes[i].site.Region] {
			rest = append(rest, i)
			continue
		}
		seen[f.nodes[i].site.Region] = true
		first = append(first, i)
	}
	return first, rest
}

// feed pushes from one actor to the regions without the store, and on within them.
func (f *flow) feed(feeder int) {
	first, rest := f.fed()
	for _, i := range first {
		f.send(feeder, i, f.sizes.push)
	}
	for _, i := range rest {
		for _, g := range first {
			if f.nodes[g].site.Region == f.nodes[i].site.Region {
				f.send(g, i, f.sizes.push)
			}
		}
	}
}

func watchEach(f *flow) {
	for _, i := range f.vms(func(int) bool { return true }) {
		f.send(0, i, f.sizes.whole)
	}
}

func tree(f *flow) {
	actors := f.actors()
	f.send(0, actors[0], f.sizes.whole)
	for _, i := range actors[1:] {
		if f.home(i) {
			f.send(actors[0], i, f.sizes.push)
		}
	}
	f.feed(actors[0])
	for _, i := range actors {
		f.inside(i)
	}
}

// ring is the quorum ring: the data centres stand in a grid; the origin sends to its row and column, and those
// of its column send on to their rows.
func ring(f *flow) {
	actors := f.actors()
	side := int(math.Ceil(math.Sqrt(float64(len(actors)))))
	f.send(0, actors[0], f.sizes.whole)
	rowOf := func(a int) []int {
		start := a / side * side
		return actors[start:min(start+side, len(actors))]
	}
	for _, i := range rowOf(0)[1:] {
		f.send(actors[0], i, f.sizes.push)
	}
	for a := side; a < len(actors); a += side {
		f.send(actors[0], actors[a], f.sizes.push)
		for _, i := range rowOf(a)[1:] {
			f.send(actors[a], i, f.sizes.push)
		}
	}
	for _, i := range actors {
		f.inside(i)
	}
}

func chosen(f *flow) {
	for _, i := range f.actors() {
		if f.home(i) {
			f.send(0, i, f.sizes.whole)
		}
	}
	f.feed(f.actors()[0])
	for _, i := range f.actors() {
		f.inside(i)
	}
}

func watches(n int) float64 { return float64(n) / watchTimeout.Seconds() }

func (f *flow) homeActors() int {
	n := 0
	for _, i := range f.actors() {
		if f.home(i) {
			n++
		}
	}
	return n
}

// comparing returns the bytes a second with which data centres compare revisions across the link.
func (f *flow) comparing(pairs int) float64 {
	return float64(pairs*f.sizes.pull) / (farEvery * pullEvery.Seconds())
}

// ringPairs returns how many data centres have their predecessor on the ring in another region.
func (f *flow) ringPairs() int {
	actors, n := f.actors(), 0
	for k, i := range actors {
		before := actors[(k+len(actors)-1)%len(actors)]
		if f.nodes[before].site.Region != f.nodes[i].site.Region {
			n++
		}
	}
	return n
}

func ways() []way {
	far := func(f *flow) float64 { return float64(len(f.vms(func(i int) bool { return !f.home(i) }))) }
	return []way{
		{"watch per VM", watchEach, func(f *flow) (float64, float64) {
			const emptyAnswer = 200
			return watches(len(f.nodes) - 1), far(f) * emptyAnswer / watchTimeout.Seconds()
		}, func(f *flow) float64 { return float64(len(f.nodes) - 1) }, 0},
		{"polling by every VM", watchEach, func(f *flow) (float64, float64) {
			n := float64(len(f.nodes) - 1)
			return n / pollEvery.Seconds(), far(f) * float64(f.sizes.whole) / pollEvery.Seconds()
		}, func(*flow) float64 { return 0 }, pollEvery},
		{"tree by region", tree, func(f *flow) (float64, float64) {
			first, _ := f.fed()
			return watches(1), f.comparing(len(first))
		}, func(*flow) float64 { return 1 }, 0},
		{"quorum ring", ring, func(f *flow) (float64, float64) {
			return watches(1), f.comparing(f.ringPairs())
		}, func(*flow) float64 { return 1 }, 0},
		{"watch per data centre", chosen, func(f *flow) (float64, float64) {
			first, _ := f.fed()
			return watches(f.homeActors()), f.comparing(len(first))
		}, func(f *flow) float64 { return float64(f.homeActors()) }, 0},
	}
}

func weigh(l layout, s sizes, w way) row {
	f := newFlow(l, s)
	w.spread(f)
	out := row{name: w.name, messages: f.messages, bytes: f.bytes, crossings: f.crossings, crossedBytes: f.crossedBytes}
	for i := 1; i < len(f.nodes); i++ {
		out.slowest = max(out.slowest, f.reached[i]+w.wait)
		out.hops = max(out.hops, f.hops[i])
	}
	calls, link := w.standing(f)
	out.storeCalls = calls + w.storeCallsPerChange(f)*changesPerDay/day
	out.linkBytesPerDay = link * day
	if w.wait == 0 {
		out.linkBytesPerDay += float64(f.crossedBytes) * changesPerDay
	}
	return out
}

func table(t *testing.T) string {
	var b strings.Builder
	for _, c := range []struct {
		layout layout
		teams  int
	}{{nawba(), 20}, {swan(), 20}, {target(), 270}} {
		s := sizesOf(t, c.teams)
		vms := len(newFlow(c.layout, s).nodes) - 1
		fmt.Fprintf(&b, "%s: %d VMs in %d data centres; whole record %d B, push %d B, comparison %d B\n\n",
			c.layout.name, vms, len(c.layout.places), s.whole, s.push, s.pull)
		b.WriteString("| Way | messages | bytes | crossings | bytes crossed | hops | in force after | " +
			"store calls/s | link MB/day |\n|---|---|---|---|---|---|---|---|---|\n")
		for _, w := range ways() {
			r := weigh(c.layout, s, w)
			fmt.Fprintf(&b, "| %s | %d | %d | %d | %d | %d | %s | %.2f | %.1f |\n", r.name, r.messages, r.bytes,
				r.crossings, r.crossedBytes, r.hops, r.slowest, r.storeCalls, r.linkBytesPerDay/1e6)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// TestNoteHoldsTheWeighing keeps the table of the design note equal to the calculation.
func TestNoteHoldsTheWeighing(t *testing.T) {
	want := table(t)
	note, err := os.ReadFile(notePath)
	if err != nil || !strings.Contains(string(note), want) {
		t.Fatalf("the note lacks this table (%v):\n%s", err, want)
	}
}

func TestChosenWayCrossesTheLinkOncePerRegionAndChange(t *testing.T) {
	for _, l := range []layout{nawba(), swan(), target()} {
		all := ways()
		r := weigh(l, sizesOf(t, 20), all[len(all)-1])
		if r.crossings != 1 || r.slowest > today {
			t.Errorf("%s: %d crossings, in force after %s", l.name, r.crossings, r.slowest)
		}
		if vms := newFlow(l, sizes{}).nodes; r.messages != len(vms)-1 {
			t.Errorf("%s: %d messages for %d VMs", l.name, r.messages, len(vms)-1)
		}
	}
}
