package feed

import (
	"encoding/json"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/pack"
	"github.com/magnoliawalk/magnoliawalk/internal/flow/specs"
)

type (
	// digest identifies the encoded form of a catalog.
	digest uint64

	// document is a catalog with its encoded form, which is made when another daemon first asks for it.
	document struct {
		catalog *specs.Catalog

		encode  sync.Once
		encoded []byte
		digest  digest
		err     error
	}
)

// encoding returns the encoded catalog and its digest.
func (d *document) encoding() ([]byte, digest, error) {
	d.encode.Do(func() {
		body, err := json.Marshal(d.catalog)
		if err != nil {
			d.err = errs.New(errs.Internal, "encoding catalog %d: %v", d.catalog.Version, err)
			return
		}
		d.encoded = pack.Pack(body)
		d.digest = digest(xxhash.Sum64(d.encoded))
	})
	return d.encoded, d.digest, d.err
}

// decodeDocument decodes and checks a catalog that another daemon has encoded. The error is of kind Invalid.
func decodeDocument(encoded []byte, want digest) (*document, error) {
	if got := digest(xxhash.Sum64(encoded)); got != want {
		return nil, errs.New(errs.Invalid, "catalog of %d bytes has digest %x, want %x", len(encoded), got, want)
	}
	body, err := pack.Unpack(encoded)
	if err != nil {
		return nil, err
	}
	catalog := &specs.Catalog{}
	if err := json.Unmarshal(body, catalog); err != nil {
		return nil, errs.New(errs.Invalid, "catalog is malformed: %v", err)
	}
	d := &document{catalog: catalog}
	d.encode.Do(func() { d.encoded, d.digest = encoded, want })
	return d, nil
}
