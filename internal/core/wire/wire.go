// Package wire decodes JSON strictly into types that check themselves.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Checker is a domain type that checks its own fields after it was decoded.
type Checker interface {
	// Check returns an error of kind Invalid that names the wrong field.
	Check() error
}

// Decode reads one JSON value of at most limit bytes, refuses unknown fields, and checks the result.
func Decode(r io.Reader, limit int64, into Checker) error {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return errs.New(errs.Invalid, "reading body: %v", err)
	}
	if int64(len(body)) > limit {
		return errs.New(errs.TooLarge, "body is over %d bytes", limit)
	}
	return Unmarshal(body, into)
}

// Unmarshal decodes one JSON value, refuses unknown fields and trailing data, and checks the result.
func Unmarshal(body []byte, into Checker) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return errs.New(errs.Invalid, "decoding body: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errs.New(errs.Invalid, "decoding body: data after the value")
	}
	return into.Check()
}

// Marshal encodes a value that is known to be encodable; it panics on a type that is not.
func Marshal(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic("wire: value cannot be encoded: " + err.Error())
	}
	return body
}
