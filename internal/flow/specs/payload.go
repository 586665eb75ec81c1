package specs

import (
	"encoding/base64"
	"encoding/json"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/pack"
)

// Payload is the text that a caller gives to the tasks of its job. It is kept packed, since it is sent to the leader, the
// store and the relays, and read only when a task starts.
type Payload string

// NewPayload returns the payload with the text.
func NewPayload(text string) Payload {
	return Payload(pack.Pack([]byte(text)))
}

// Text returns the caller's text. An error of kind Invalid means that the packed text is malformed.
func (p Payload) Text() (string, error) {
	text, err := pack.Unpack([]byte(p))
	return string(text), err
}

// MarshalJSON encodes a packed payload as its first byte, which marks it, and the rest in base64.
func (p Payload) MarshalJSON() ([]byte, error) {
	if !pack.IsPacked([]byte(p)) {
		return json.Marshal(string(p))
	}
	return json.Marshal(string(p[:1]) + base64.StdEncoding.EncodeToString([]byte(p[1:])))
}

// UnmarshalJSON decodes a payload, also one that was stored before payloads were packed.
func (p *Payload) UnmarshalJSON(body []byte) error {
	var text string
	if err := json.Unmarshal(body, &text); err != nil {
		return errs.New(errs.Invalid, "payload is not a string: %v", err)
	}
	if !pack.IsPacked([]byte(text)) {
		*p = Payload(text)
		return nil
	}
	rest, err := base64.StdEncoding.DecodeString(text[1:])
	if err != nil {
		return errs.New(errs.Invalid, "packed payload is malformed: %v", err)
	}
	*p = Payload(text[:1]) + Payload(rest)
	return nil
}
