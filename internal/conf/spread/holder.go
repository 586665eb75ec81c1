package spread

import (
	"sync"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/edit"
	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

// maxBodies is the number of bodies that are retained as bases of deltas, including the one in force. A peer that is
// further behind gets the whole body.
const maxBodies = 4

type (
	// holder holds the record in force and replaces it only with newer records. It is safe for concurrent use.
	holder struct {
		mu      sync.Mutex
		current *edit.Accepted
		parsed  *envdoc.Document
		// bodies are the bodies that were last in force, newest last, retained as bases of deltas.
		bodies []retainedBody
		// unreadable is the stamp of the last record that this version of the program could not parse.
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

// replace puts a record in force if it is newer, and reports whether it did. The error is of kind Invalid when the
// record fails its check or its document can't be parsed. A record that is not newer, or whose stamp is that of the last
// one that could not be parsed, is ignored without an error.
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
		return false, errs.New(errs.Invalid, "revision %d can't be parsed by this version of the program: %s",
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

// accepts reports whether a record with the stamp is newer than the one in force and is not the last one that could not
// be parsed.
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

// body returns the retained body with the digest, or an error of kind NotFound. The digest 0 is that of the empty body.
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
	return nil, errs.New(errs.NotFound, "no retained body has digest %016x", uint64(digest))
}

// updateFrom returns the record in force as a delta against the base, or against the empty body when the base is not
// retained. The error is of kind NotFound when no record is in force.
func (h *holder) updateFrom(base types.Digest) (Update, error) {
	from, err := h.body(base)
	if err != nil {
		base, from = 0, nil
	}
	record := h.record()
	if record == nil {
		return Update{}, errs.New(errs.NotFound, "this daemon has no record in force yet")
	}
	delta, err := encodeDelta(from, record.Body)
	if err != nil {
		return Update{}, err
	}
	return Update{Stamp: stampOf(record), By: record.By, From: record.From, Base: base, Delta: delta}, nil
}

// previousDigest returns the digest of the body that was in force before the present one, or 0 if there was none.
func (h *holder) previousDigest() types.Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.bodies) < 2 {
		return 0
	}
	return h.bodies[len(h.bodies)-2].digest
}
