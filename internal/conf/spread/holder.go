package spread

import (
	"sync"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// maxBodies is how many bodies are kept as bases of deltas, the one in force included.
const maxBodies = 4

type (
	// holder holds the record in force; it only moves to newer records. It is safe for concurrent use.
	holder struct {
		mu      sync.Mutex
		current *edit.Accepted
		parsed  *envdoc.Document
		// bodies are the latest bodies in force, the newest last.
		bodies []retainedBody
		// unreadable is the newest record that this version of the program can't read.
		unreadable Stamp
	}

	retainedBody struct {
		digest types.Digest
		body   []byte
	}
)

func newHolder() *holder {
	return &holder{}
}

// replace puts a newer record in force. It tells whether it did; an older record changes nothing.
func (h *holder) replace(record edit.Accepted) (bool, error) {
	if err := record.Check(); err != nil {
		return false, err
	}
	if !h.accepts(stampOf(&record)) {
		return false, nil
	}
	document, err := envdoc.Parse(record.Body)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.unreadable = stampOf(&record)
		return false, errs.New(errs.Invalid, "revision %d can't be read by this version of the program: %s",
			record.Revision, errs.Of(err).Message)
	}
	if !record.Newer(h.current) {
		return false, nil
	}
	h.current, h.parsed = &record, document
	h.bodies = append(h.bodies, retainedBody{digest: record.Digest, body: record.Body})
	if len(h.bodies) > maxBodies {
		h.bodies = append([]retainedBody(nil), h.bodies[1:]...)
	}
	return true, nil
}

// accepts tells whether a record with the stamp is newer than the one in force and not known to be unreadable.
func (h *holder) accepts(stamp Stamp) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return stamp.newer(stampOf(h.current)) && stamp != h.unreadable
}

func (h *holder) hasRecord() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current != nil
}

func (h *holder) record() *edit.Accepted {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

func (h *holder) stamp() Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	return stampOf(h.current)
}

func (h *holder) document() (*envdoc.Document, types.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		return nil, 0
	}
	return h.parsed, h.current.Revision
}

// body returns a kept body, or kind NotFound. The digest 0 stands for the empty body.
func (h *holder) body(digest types.Digest) ([]byte, error) {
	if digest == 0 {
		return nil, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.bodies {
		if b.digest == digest {
			return b.body, nil
		}
	}
	return nil, errs.New(errs.NotFound, "the body with digest %016x is not kept", uint64(digest))
}

// updateFrom returns the record in force as a delta against the base, or whole when the base is not kept.
func (h *holder) updateFrom(base types.Digest) (Update, error) {
	from, err := h.body(base)
	if err != nil {
		base, from = 0, nil
	}
	record := h.record()
	if record == nil {
		return Update{}, errs.New(errs.NotFound, "nothing is in force")
	}
	delta, err := encodeDelta(from, record.Body)
	if err != nil {
		return Update{}, err
	}
	return Update{Stamp: stampOf(record), By: record.By, From: record.From, Base: base, Delta: delta}, nil
}

// previousDigest returns the digest of the body that was in force before the present one, or 0.
func (h *holder) previousDigest() types.Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.bodies) < 2 {
		return 0
	}
	return h.bodies[len(h.bodies)-2].digest
}
