package pack

import (
	"bytes"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// TestUnpackIsBounded guards against a small value that unpacks to more than a process can hold.
func TestUnpackIsBounded(t *testing.T) {
	packed := Pack(make([]byte, maxBytes+1))
	if _, err := Unpack(packed); !errs.Is(err, errs.TooLarge) {
		t.Errorf("%d bytes that unpack to more than the limit: %v, want kind TooLarge", len(packed), err)
	}
}

// FuzzUnpack guards against a packed value that panics, or unpacks to more than the limit.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte{marker})
	f.Add([]byte{marker, 0xff, 0xff})
	f.Add(Pack(bytes.Repeat([]byte("Placed "), 200)))
	f.Add(Pack(make([]byte, 1<<20)))
	f.Fuzz(func(t *testing.T, value []byte) {
		if got, err := Unpack(value); err == nil && len(got) > maxBytes {
			t.Errorf("%d bytes unpack to %d", len(value), len(got))
		}
		if got, err := Unpack(Pack(value)); err != nil || !bytes.Equal(got, value) {
			t.Errorf("%q was packed and unpacked to %q, error %v", value, got, err)
		}
	})
}
