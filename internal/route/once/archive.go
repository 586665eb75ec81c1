package once

import (
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
)

type (
	// archive holds final answers, bounded in number and in bytes of their bodies. The oldest are evicted first.
	archive struct {
		maxIDs   int
		maxBytes types.Bytes
		bytes    types.Bytes
		byID     map[types.RequestID]Copied
		order    []types.RequestID
	}

	// bodyCache bounds the sum of the answer bodies in a table. The oldest bodies are withheld first.
	bodyCache struct {
		limit types.Bytes
		bytes types.Bytes
		order []*record
	}
)

func newArchive(maxIDs int, maxBytes types.Bytes) *archive {
	return &archive{maxIDs: maxIDs, maxBytes: maxBytes, byID: make(map[types.RequestID]Copied)}
}

// put stores an answer unless the archive already has one with the same id.
func (a *archive) put(c Copied) {
	id := c.Answer.ID
	if _, ok := a.byID[id]; ok {
		return
	}
	a.byID[id] = c
	a.order = append(a.order, id)
	a.bytes += types.Bytes(len(c.Answer.Body))
	for len(a.order) > a.maxIDs || a.bytes > a.maxBytes {
		oldest := a.order[0]
		a.order = a.order[1:]
		a.bytes -= types.Bytes(len(a.byID[oldest].Answer.Body))
		delete(a.byID, oldest)
	}
}

func (a *archive) get(id types.RequestID) (Copied, bool) {
	c, ok := a.byID[id]
	return c, ok
}

// page returns the answers from the index on and the index after the last one returned. A page ends after
// maxPageRecords answers, or with the answer whose body reaches maxPageBytes.
func (a *archive) page(from int) ([]Copied, int) {
	var out []Copied
	size := 0
	i := max(0, from)
	for ; i < len(a.order) && len(out) < maxPageRecords && size < maxPageBytes; i++ {
		c := a.byID[a.order[i]]
		out = append(out, c)
		size += len(c.Answer.Body)
	}
	return out, i
}

// add counts the body of a completed record and withholds the oldest bodies while the sum is over the limit.
func (b *bodyCache) add(r *record) {
	if len(r.answer.Body) == 0 {
		return
	}
	b.order = append(b.order, r)
	b.bytes += types.Bytes(len(r.answer.Body))
	for len(b.order) > 0 && (b.bytes > b.limit || len(b.order[0].answer.Body) == 0) {
		oldest := b.order[0]
		b.order[0] = nil
		b.order = b.order[1:]
		if len(oldest.answer.Body) == 0 {
			continue
		}
		b.bytes -= types.Bytes(len(oldest.answer.Body))
		withheld := Withhold(*oldest.answer, b.limit)
		oldest.answer = &withheld
	}
}

// remove discards the body of a record that leaves the table. The record stays in order without a body; add skips it.
func (b *bodyCache) remove(r *record) {
	if len(r.answer.Body) == 0 {
		return
	}
	b.bytes -= types.Bytes(len(r.answer.Body))
	r.answer = &types.Answer{ID: r.answer.ID, Outcome: types.OutcomeUnknown, Digest: types.DigestOf(nil)}
}
