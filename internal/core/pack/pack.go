// Package pack compresses values that are sent or stored more often than they are read.
package pack

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

const (
	// minBytes is the size from which values are compressed.
	minBytes = 256
	// marker is the first byte of a compressed value. No JSON text begins with it.
	marker = 0x01
	// maxBytes limits the size of an unpacked value.
	maxBytes = 64 << 20
)

// writers holds flate writers, which are large.
var writers = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed)
	return w
}}

// Pack returns the value compressed, or as it is when that is not larger. A value that begins like a compressed one is
// always compressed.
func Pack(value []byte) []byte {
	ambiguous := IsPacked(value)
	if len(value) < minBytes && !ambiguous {
		return value
	}
	w, ok := writers.Get().(*flate.Writer)
	if !ok {
		return value
	}
	defer writers.Put(w)
	out := bytes.NewBuffer(make([]byte, 0, len(value)/2))
	out.WriteByte(marker)
	w.Reset(out)
	// Writes to a buffer do not fail.
	_, _ = w.Write(value)
	_ = w.Close()
	if out.Len() >= len(value) && !ambiguous {
		return value
	}
	return out.Bytes()
}

// IsPacked reports whether Pack has compressed the value.
func IsPacked(value []byte) bool {
	return len(value) > 0 && value[0] == marker
}

// Unpack returns the value that Pack was given. An error of kind Invalid means that the packed value is malformed.
func Unpack(packed []byte) ([]byte, error) {
	if !IsPacked(packed) {
		return packed, nil
	}
	r := flate.NewReader(bytes.NewReader(packed[1:]))
	value, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, errs.New(errs.Invalid, "compressed value of %d bytes is malformed: %v", len(packed), err)
	}
	if len(value) > maxBytes {
		return nil, errs.New(errs.TooLarge, "compressed value of %d bytes unpacks to more than %d", len(packed), maxBytes)
	}
	return value, nil
}
