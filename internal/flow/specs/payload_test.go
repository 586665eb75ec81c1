package specs

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestPayload(t *testing.T) {
	for name, text := range map[string]string{
		"Empty": "", "Short": "p", "Long": strings.Repeat("cut list ", 100), "BeginsLikeAPackedOne": "\x01x",
	} {
		t.Run(name, func(t *testing.T) {
			body, err := json.Marshal(NewPayload(text))
			if err != nil {
				t.Fatal(err)
			}
			var read Payload
			if err := json.Unmarshal(body, &read); err != nil {
				t.Fatal(err)
			}
			wantText(t, read, text)
		})
	}
	t.Run("StoredBeforePayloadsWerePacked", func(t *testing.T) {
		text := strings.Repeat("cut list ", 100)
		body, err := json.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		var read Payload
		if err := json.Unmarshal(body, &read); err != nil {
			t.Fatal(err)
		}
		wantText(t, read, text)
	})
}

func wantText(t *testing.T, p Payload, want string) {
	t.Helper()
	if got, err := p.Text(); err != nil || got != want {
		t.Errorf("text is %q, error %v, want %q", got, err, want)
	}
}
