package front

import (
	"bytes"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/magnoliawalk/magnoliawalk/internal/flow/elect"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// Guards against changes of the leader that leave no line, because the daemon has written too many others in that second.
func TestLinesOfTheElectionAreNotOmitted(t *testing.T) {
	var lines bytes.Buffer
	none := zerolog.New(&lines).Sample(&zerolog.BurstSampler{})
	f := New(Config{Self: peer.Target{VM: "self"}, Clock: clockwork.NewRealClock(), Log: none, Metrics: metrics.NewRegistry(), Peers: &fakeLeader{}})
	f.config.Log.Warn().Msg("one of many")
	f.elector.AdoptLeader(elect.Leader{Target: peer.Target{VM: "lead"}, Epoch: 1})
	if got := lines.String(); strings.Contains(got, "one of many") || !strings.Contains(got, "adopted a newer leader") {
		t.Errorf("the lines are %q, want that of the election alone", got)
	}
}
