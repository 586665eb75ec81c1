package guard

import (
	"fmt"
	"io"
	"strings"
)

const (
	redacted        = "[redacted]"
	secretSeparator = ","
)

// Secret is a token or key from the settings. No way of printing or encoding shows it.
type Secret struct {
	text string
}

// NewSecret returns a secret with the text.
func NewSecret(text string) Secret {
	return Secret{text: text}
}

// ParseSecrets reads secrets that are separated by commas; empty parts are left out.
func ParseSecrets(list string) []Secret {
	var out []Secret
	for part := range strings.SplitSeq(list, secretSeparator) {
		if text := strings.TrimSpace(part); text != "" {
			out = append(out, NewSecret(text))
		}
	}
	return out
}

// Reveal returns the text, for the one place that needs it.
func (s Secret) Reveal() string { return s.text }

// IsZero tells whether the secret is not set.
func (s Secret) IsZero() bool { return s.text == "" }

// String hides the text.
func (s Secret) String() string { return redacted }

// Format hides the text for every verb of package fmt.
func (s Secret) Format(f fmt.State, _ rune) {
	// A formatter has nobody to report a failed write to.
	_, _ = io.WriteString(f, redacted)
}

// MarshalText hides the text in JSON, YAML and logs.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
