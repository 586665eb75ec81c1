package pack

import (
	"bytes"
	"strings"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

func TestPack(t *testing.T) {
	tests := []struct {
		name     string
		value    []byte
		isPacked bool
	}{
		{name: "Empty", value: nil},
		{name: "Small", value: []byte(`{"Epoch":1}`)},
		{name: "Large", value: []byte(strings.Repeat("Placed i-0157df3789 ", 200)), isPacked: true},
		{name: "BeginsLikeAPackedOne", value: []byte{marker, 'x'}, isPacked: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			packed := Pack(tt.value)
			if got := IsPacked(packed); got != tt.isPacked {
				t.Errorf("packed is %v, want %v", got, tt.isPacked)
			}
			if got, err := Unpack(packed); err != nil || !bytes.Equal(got, tt.value) {
				t.Errorf("unpacked %q, error %v, want the value packed", got, err)
			}
		})
	}
	t.Run("LargeIsSmaller", func(t *testing.T) {
		value := []byte(strings.Repeat("Placed i-0157df3789 ", 200))
		if got := len(Pack(value)); got > len(value)/4 {
			t.Errorf("%d bytes are packed into %d", len(value), got)
		}
	})
	t.Run("MalformedIsInvalid", func(t *testing.T) {
		if _, err := Unpack([]byte{marker, 0xff, 0xff}); !errs.Is(err, errs.Invalid) {
			t.Errorf("got %v, want kind Invalid", err)
		}
	})
}
