package lend

import (
	"encoding/json"
	"testing"
)

func FuzzTrade(f *testing.F) {
	f.Add([]byte(`{"From":{"VM":"vm-1","Site":{"Region":"tunis-north","DataCentre":"carthage"}},"DataCentre":"carthage","Epoch":1,"Sequence":9,"Full":true,"Wants":[{"Service":"desk","Slots":9}]}`))
	f.Add([]byte(`{"From":{"VM":"vm-9"},"DataCentre":"carthage","Epoch":1,"Life":-3,"Sequence":1,"Full":true,"Shares":[{"Runner":"runner-0","Slots":99999},{"Runner":"x"}]}`))
	f.Add([]byte(`{"Epoch":0}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var args TradeArgs
		if json.Unmarshal(text, &args) != nil {
			return
		}
		w := newSimulation()
		reply, err := w.lenders[0].trade(&args)
		if err != nil {
			return
		}
		for _, g := range reply.Grants {
			if g.Slots > testSlots || g.Connections > 64 {
				t.Errorf("grant of %d slots of %s exceeds the slots or connections of the runner", g.Slots, g.Upstream.ID)
			}
		}
	})
}
