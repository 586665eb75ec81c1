package spread

import (
	"bytes"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
)

func TestDelta(t *testing.T) {
	base := document(270, 1)
	cases := []struct {
		name     string
		base     []byte
		target   []byte
		maxBytes int
	}{
		{"OneLine", base, document(270, 2), 100},
		{"Same", base, base, 20},
		{"Whole", nil, base, len(base) / 4},
		{"ToEmpty", base, nil, 20},
		{"Grown", base, document(275, 1), 400},
		{"NoFinalLineFeed", base, base[:len(base)-1], 60},
		{"Foreign", []byte("a\nb\n"), base, len(base) / 4},
		{"Reordered", []byte("a\nb\nc\nd\n"), []byte("d\nc\nb\na\n"), 40},
		{"Repeated", []byte("a\n"), bytes.Repeat([]byte("a\n"), 1000), 2000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			delta, err := encodeDelta(c.base, c.target)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeDelta(c.base, delta)
			if err != nil || !bytes.Equal(got, c.target) {
				t.Fatalf("the delta does not produce the target: %v", err)
			}
			if len(delta) > c.maxBytes {
				t.Fatalf("the delta has %d bytes, more than allowed", len(delta))
			}
			t.Logf("%d bytes for a body of %d", len(delta), len(c.target))
		})
	}
}

func FuzzDelta(f *testing.F) {
	f.Add([]byte("a\nb\n"), []byte("b\nc"), []byte{1, 2, 3})
	f.Add(document(3, 1), document(3, 2), []byte{})
	f.Fuzz(func(t *testing.T, base, target, arbitrary []byte) {
		if len(target) > envdoc.MaxBody || len(base) > envdoc.MaxBody {
			return
		}
		delta, err := encodeDelta(base, target)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeDelta(base, delta)
		if err != nil || !bytes.Equal(got, target) {
			t.Fatalf("the delta produced %q, %v", got, err)
		}
		if body, err := decodeDelta(base, arbitrary); err == nil && len(body) > envdoc.MaxBody {
			t.Fatal("an arbitrary delta produced a body over the limit")
		}
	})
}
