// Package wire decodes JSON strictly and checks the decoded value.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Checker is a type that can check its fields after it was decoded.
type Checker interface {
	// Check returns an error, usually of kind Invalid, that names the invalid field.
	Check() error
}

// Decode reads one JSON value of at most limit bytes and unmarshals it as Unmarshal does. The error is of kind TooLarge
// if the value is larger, and keeps the kind of an error of r that has one.
func Decode(r io.Reader, limit int64, into Checker) error {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	var typed *errs.Error
	switch {
	case errors.As(err, &typed):
		return typed
	case err != nil:
		return errs.New(errs.Invalid, "reading body: %v", err)
	}
	if int64(len(body)) > limit {
		return errs.New(errs.TooLarge, "body is over %d bytes", limit)
	}
	return Unmarshal(body, into)
}

// Unmarshal decodes one JSON value and checks it. Unknown fields and data after the value are errors of kind Invalid.
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

// Marshal returns the JSON of a value that is known to be encodable; it panics if the value is not.
func Marshal(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic("wire: value cannot be encoded: " + err.Error())
	}
	return body
}
