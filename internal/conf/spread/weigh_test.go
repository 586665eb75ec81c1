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
	// changesPerDay is the stated target rate of changes.
	changesPerDay = 1100
	day           = 24 * 60 * 60
	// pollInterval is an interval that keeps polling within currentScaleTimeout.
	pollInterval   = 4 * time.Second
	designNotePath = "../../../docs/design/distribution.md"
)

type (
	// node is the store or a VM in the cost calculation.
	node struct {
		site types.Site
		// leads is true for the first VM of its data centre, which is its leader.
		leads bool
	}

	// flow follows one change from the store to every VM. Each message leaves as soon as its sender has the change.
	flow struct {
		layout       layout
		nodes        []node
		sizes        sizes
		arrivedAfter map[int]time.Duration
		hops         map[int]int

		messages, bytes, crossings, crossedBytes int
	}

	// sizes holds the bytes of one message of each kind, including the answer.
	sizes struct {
		whole, push, pull int
	}

	// cost is what one strategy costs in one layout.
	cost struct {
		name                                           string
		messages, bytes, crossings, crossedBytes, hops int
		slowest                                        time.Duration
		storeCalls, linkBytesPerDay                    float64
	}

	// strategy is one way to distribute a change to every VM.
	strategy struct {
		name   string
		spread func(f *flow)
		// idleLoad returns the store calls and the bytes over the link, each per second, that occur without any change.
		idleLoad func(f *flow) (calls, linkBytes float64)
		// storeCallsPerChange returns the store calls that one change adds.
		storeCallsPerChange func(f *flow) float64
		pollDelay           time.Duration
	}
)

func headerSize(method peer.Method) int {
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
		push: headerSize(methodPush) + peer.Size(&PushArgs{Environment: production, Update: update, Age: time.Second}) +
			peer.Size(&PushReply{Have: stamp}),
		pull: headerSize(methodPull) + peer.Size(&PullArgs{Environment: production, Have: stamp}) +
			peer.Size(&PullReply{Have: stamp, Age: time.Second}),
	}
}

func newFlow(l layout, s sizes) *flow {
	f := &flow{layout: l, sizes: s, arrivedAfter: map[int]time.Duration{0: 0}, hops: map[int]int{0: 0}}
	f.nodes = append(f.nodes, node{site: types.Site{Region: l.sites[0].site.Region, DataCentre: "store"}})
	for _, p := range l.sites {
		for i := range p.vms {
			f.nodes = append(f.nodes, node{site: p.site, leads: i == 0})
		}
	}
	return f
}

// send forwards the change. A message to a node that has it already costs the same.
func (f *flow) send(from, to, bytes int) {
	f.messages++
	f.bytes += bytes
	a, b := f.nodes[from], f.nodes[to]
	if a.site.Region != b.site.Region {
		f.crossings++
		f.crossedBytes += bytes
	}
	at := f.arrivedAfter[from] + f.layout.delay(a.site, b.site)
	if earlier, ok := f.arrivedAfter[to]; !ok || at < earlier {
		f.arrivedAfter[to], f.hops[to] = at, f.hops[from]+1
	}
}

// isHome reports whether a node is in the store's region.
func (f *flow) isHome(i int) bool { return f.nodes[i].site.Region == f.nodes[0].site.Region }

func (f *flow) vmsWhere(match func(i int) bool) []int {
	var out []int
	for i := 1; i < len(f.nodes); i++ {
		if match(i) {
			out = append(out, i)
		}
	}
	return out
}

func (f *flow) leaders() []int { return f.vmsWhere(func(i int) bool { return f.nodes[i].leads }) }

// pushWithinDataCentre pushes from a leader to the other VMs of its data centre.
func (f *flow) pushWithinDataCentre(leader int) {
	for _, i := range f.vmsWhere(func(i int) bool {
		return i != leader && f.nodes[i].site.DataCentre == f.nodes[leader].site.DataCentre
	}) {
		f.send(leader, i, f.sizes.push)
	}
}

// remoteLeaders returns the first leader of each region without the store, and the other leaders there.
func (f *flow) remoteLeaders() (first, others []int) {
	seen := make(map[types.Region]bool)
	for _, i := range f.leaders() {
		if f.isHome(i) {
			continue
		}
		if seen[f.nodes[i].site.Region] {
			others = append(others, i)
			continue
		}
		seen[f.nodes[i].site.Region] = true
		first = append(first, i)
	}
	return first, others
}

// pushToRemoteRegions pushes from one leader to the first leader of each region without the store, and from there to
// the other leaders of the region.
func (f *flow) pushToRemoteRegions(leader int) {
	first, others := f.remoteLeaders()
	for _, i := range first {
		f.send(leader, i, f.sizes.push)
	}
	for _, i := range others {
		for _, g := range first {
			if f.nodes[g].site.Region == f.nodes[i].site.Region {
				f.send(g, i, f.sizes.push)
			}
		}
	}
}

func watchPerVM(f *flow) {
	for _, i := range f.vmsWhere(func(int) bool { return true }) {
		f.send(0, i, f.sizes.whole)
	}
}

func treeByRegion(f *flow) {
	leaders := f.leaders()
	f.send(0, leaders[0], f.sizes.whole)
	for _, i := range leaders[1:] {
		if f.isHome(i) {
			f.send(leaders[0], i, f.sizes.push)
		}
	}
	f.pushToRemoteRegions(leaders[0])
	for _, i := range leaders {
		f.pushWithinDataCentre(i)
	}
}

// quorumRing arranges the data centres in a grid. The origin sends to its row and its column, and those of its column
// forward to their rows.
func quorumRing(f *flow) {
	leaders := f.leaders()
	side := int(math.Ceil(math.Sqrt(float64(len(leaders)))))
	f.send(0, leaders[0], f.sizes.whole)
	rowOf := func(a int) []int {
		start := a / side * side
		return leaders[start:min(start+side, len(leaders))]
	}
	for _, i := range rowOf(0)[1:] {
		f.send(leaders[0], i, f.sizes.push)
	}
	for a := side; a < len(leaders); a += side {
		f.send(leaders[0], leaders[a], f.sizes.push)
		for _, i := range rowOf(a)[1:] {
			f.send(leaders[a], i, f.sizes.push)
		}
	}
	for _, i := range leaders {
		f.pushWithinDataCentre(i)
	}
}

// watchPerDataCentre is the strategy that this package implements: the leaders of the store's region watch the store.
func watchPerDataCentre(f *flow) {
	for _, i := range f.leaders() {
		if f.isHome(i) {
			f.send(0, i, f.sizes.whole)
		}
	}
	f.pushToRemoteRegions(f.leaders()[0])
	for _, i := range f.leaders() {
		f.pushWithinDataCentre(i)
	}
}

func watchRate(n int) float64 { return float64(n) / watchTimeout.Seconds() }

func (f *flow) watchingDataCentres() int {
	n := 0
	for _, i := range f.leaders() {
		if f.isHome(i) {
			n++
		}
	}
	return n
}

// comparisonRate returns the bytes per second with which pairs of data centres compare revisions across the link.
func (f *flow) comparisonRate(pairs int) float64 {
	return float64(pairs*f.sizes.pull) / (crossRegionTurn * pullInterval.Seconds())
}

// ringPairs returns the number of data centres whose predecessor on the ring is in another region.
func (f *flow) ringPairs() int {
	leaders, n := f.leaders(), 0
	for k, i := range leaders {
		before := leaders[(k+len(leaders)-1)%len(leaders)]
		if f.nodes[before].site.Region != f.nodes[i].site.Region {
			n++
		}
	}
	return n
}

func strategies() []strategy {
	remoteVMs := func(f *flow) float64 { return float64(len(f.vmsWhere(func(i int) bool { return !f.isHome(i) }))) }
	return []strategy{
		{"watch per VM", watchPerVM, func(f *flow) (float64, float64) {
			const emptyAnswer = 200
			return watchRate(len(f.nodes) - 1), remoteVMs(f) * emptyAnswer / watchTimeout.Seconds()
		}, func(f *flow) float64 { return float64(len(f.nodes) - 1) }, 0},
		{"polling by every VM", watchPerVM, func(f *flow) (float64, float64) {
			n := float64(len(f.nodes) - 1)
			return n / pollInterval.Seconds(), remoteVMs(f) * float64(f.sizes.whole) / pollInterval.Seconds()
		}, func(*flow) float64 { return 0 }, pollInterval},
		{"tree by region", treeByRegion, func(f *flow) (float64, float64) {
			first, _ := f.remoteLeaders()
			return watchRate(1), f.comparisonRate(len(first))
		}, func(*flow) float64 { return 1 }, 0},
		{"quorum ring", quorumRing, func(f *flow) (float64, float64) {
			return watchRate(1), f.comparisonRate(f.ringPairs())
		}, func(*flow) float64 { return 1 }, 0},
		{"watch per data centre", watchPerDataCentre, func(f *flow) (float64, float64) {
			first, _ := f.remoteLeaders()
			return watchRate(f.watchingDataCentres()), f.comparisonRate(len(first))
		}, func(f *flow) float64 { return float64(f.watchingDataCentres()) }, 0},
	}
}

func evaluate(l layout, s sizes, w strategy) cost {
	f := newFlow(l, s)
	w.spread(f)
	out := cost{name: w.name, messages: f.messages, bytes: f.bytes, crossings: f.crossings, crossedBytes: f.crossedBytes}
	for i := 1; i < len(f.nodes); i++ {
		out.slowest = max(out.slowest, f.arrivedAfter[i]+w.pollDelay)
		out.hops = max(out.hops, f.hops[i])
	}
	calls, link := w.idleLoad(f)
	out.storeCalls = calls + w.storeCallsPerChange(f)*changesPerDay/day
	out.linkBytesPerDay = link * day
	if w.pollDelay == 0 {
		out.linkBytesPerDay += float64(f.crossedBytes) * changesPerDay
	}
	return out
}

func costTable(t *testing.T) string {
	var b strings.Builder
	for _, c := range []struct {
		layout layout
		teams  int
	}{{nawbaLayout(), 20}, {swanLayout(), 20}, {targetLayout(), 270}} {
		s := sizesOf(t, c.teams)
		vms := len(newFlow(c.layout, s).nodes) - 1
		fmt.Fprintf(&b, "%s: %d VMs in %d data centres; whole record %d B, push %d B, comparison %d B\n\n",
			c.layout.name, vms, len(c.layout.sites), s.whole, s.push, s.pull)
		b.WriteString("| Way | messages | bytes | crossings | bytes crossed | hops | in force after | " +
			"store calls/s | link MB/day |\n|---|---|---|---|---|---|---|---|---|\n")
		for _, w := range strategies() {
			r := evaluate(c.layout, s, w)
			fmt.Fprintf(&b, "| %s | %d | %d | %d | %d | %d | %s | %.2f | %.1f |\n", r.name, r.messages, r.bytes,
				r.crossings, r.crossedBytes, r.hops, r.slowest, r.storeCalls, r.linkBytesPerDay/1e6)
		}
		b.WriteString("\n")
	}
	return b.String()
}

// TestDesignNoteStatesTheCalculatedCosts guards against a design note whose cost table differs from the calculation.
func TestDesignNoteStatesTheCalculatedCosts(t *testing.T) {
	want := costTable(t)
	note, err := os.ReadFile(designNotePath)
	if err != nil || !strings.Contains(string(note), want) {
		t.Fatalf("the design note lacks this table (%v):\n%s", err, want)
	}
}

// TestChosenStrategyCrossesTheLinkOncePerRegionAndChange checks the last strategy, which the package implements.
func TestChosenStrategyCrossesTheLinkOncePerRegionAndChange(t *testing.T) {
	for _, l := range []layout{nawbaLayout(), swanLayout(), targetLayout()} {
		all := strategies()
		r := evaluate(l, sizesOf(t, 20), all[len(all)-1])
		if r.crossings != 1 || r.slowest > currentScaleTimeout {
			t.Errorf("%s: %d crossings, in force after %s", l.name, r.crossings, r.slowest)
		}
		if vms := newFlow(l, sizes{}).nodes; r.messages != len(vms)-1 {
			t.Errorf("%s: %d messages for %d VMs", l.name, r.messages, len(vms)-1)
		}
	}
}
