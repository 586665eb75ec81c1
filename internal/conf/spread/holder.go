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
		mu     sync.Mutex
		now    *edit.Accepted
		parsed *envdoc.Document
		// bodies are the latest bodies in force, the newest last.
		bodies []held
		// refused is the newest record that this version of the program can't read.
		refused Stamp
	}

	held struct {
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
	if !h.wants(stampOf(&record)) {
		return false, nil
	}
	document, err := envdoc.Parse(record.Body)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.refused = stampOf(&record)
		return false, errs.New(errs.Invalid, "revision %d can't be read by this version of the program: %s",
			record.Revision, errs.Of(err).Message)
	}
	if !record.Newer(h.now) {
		return false, nil
	}
	h.now, h.parsed = &record, document
	h.bodies = append(h.bodies, held{digest: record.Digest, body: record.Body})
	if len(h.bodies) > maxBodies {
		h.bodies = append([]held(nil), h.bodies[1:]...)
	}
	return true, nil
}

// wants tells whether a record with the stamp is newer than the one in force and not known to be unreadable.
func (h *holder) wants(stamp Stamp) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return stamp.newer(stampOf(h.now)) && stamp != h.refused
}

func (h *holder) filled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now != nil
}

func (h *holder) record() *edit.Accepted {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now
}

func (h *holder) stamp() Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	return stampOf(h.now)
}

func (h *holder) document() (*envdoc.Document, types.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.now == nil {
		return nil, 0
	}
	return h.parsed, h.now.Revision
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

// update returns the record in force as a delta against the base, or whole when the base is not kept.
func (h *holder) update(base types.Digest) (Update, error) {
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

// previous returns the digest of the body that was in force before the present one, or 0.
func (h *holder) previous() types.Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.bodies) < 2 {
		return 0
	}
	return h.bodies[len(h.bodies)-2].digest
}
