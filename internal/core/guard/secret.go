package guard

import (
	"fmt"
	"io"
	"strings"
)

const (
	// redacted replaces the text of a secret wherever it is printed or encoded.
	redacted        = "[redacted]"
	secretSeparator = ","
)

// Secret is a token or key from the settings. Its text does not appear when it is printed or encoded.
type Secret struct {
	text string
}

// NewSecret returns a secret with the text.
func NewSecret(text string) Secret {
	return Secret{text: text}
}

// ParseSecrets splits a list of secrets at commas and trims spaces; empty parts are skipped.
func ParseSecrets(list string) []Secret {
	var out []Secret
	for part := range strings.SplitSeq(list, secretSeparator) {
		if text := strings.TrimSpace(part); text != "" {
			out = append(out, NewSecret(text))
		}
	}
	return out
}

// Reveal returns the text. It is only for code that uses the secret itself, such as a comparison or key derivation.
func (s Secret) Reveal() string { return s.text }

// IsZero reports whether the secret is empty.
func (s Secret) IsZero() bool { return s.text == "" }

// String returns a placeholder instead of the text.
func (s Secret) String() string { return redacted }

// Format implements fmt.Formatter. It writes a placeholder instead of the text for every verb.
func (s Secret) Format(f fmt.State, _ rune) {
	// Format has no result by which a failed write could be reported.
	_, _ = io.WriteString(f, redacted)
}

// MarshalText returns a placeholder instead of the text, for JSON, YAML and logs.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
