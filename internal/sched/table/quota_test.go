package table

import (
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// A team's quota of zero as a whole means none. One that names a resource allows nothing of those that it leaves out, unlike
// the quota of an organisation.
func TestTeamQuota(t *testing.T) {
	need := types.Resources{Cores: types.Core, Memory: types.GiB}
	for _, tt := range []struct {
		name  string
		quota types.Resources
		want  bool
	}{
		{name: "None", want: true},
		{name: "Enough", quota: types.Resources{Cores: 2 * types.Core, Memory: 2 * types.GiB}, want: true},
		{name: "TooLittle", quota: types.Resources{Cores: 2*types.Core - 1, Memory: 2 * types.GiB}},
		{name: "NoMemory", quota: types.Resources{Cores: 2 * types.Core}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			team := &Team{Quota: tt.quota, Used: need}
			if got := team.HasQuotaFor(need); got != tt.want {
				t.Errorf("quota for %s beside %s within %s: %v, want %v", need, need, tt.quota, got, tt.want)
			}
		})
	}
}
