package feed

import (
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawalk/magnoliawalk/internal/core/pack"
)

// FuzzDocument guards against a catalog of another daemon that stops this one. The digest is right, since it only shows
// damage on the way.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(`{"Version":3,"Routes":[{"Host":"h","Prefix":"/p/"}]}`))
	f.Add([]byte(`null`))
	f.Add(pack.Pack([]byte(`{"Version":3}`)))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		d, err := decodeDocument(encoded, digest(xxhash.Sum64(encoded)))
		if err != nil {
			return
		}
		d.catalog.Match("h", "/p/1")
		if _, _, err := d.encoding(); err != nil {
			t.Errorf("a catalog was decoded that cannot be handed on: %v", err)
		}
	})
}
