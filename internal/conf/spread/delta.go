package spread

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// A delta is a compressed list of operations. Each starts with a number: an odd one, 2n+1, copies n lines of
// the base from the line whose number follows; an even one, 2n, inserts the n bytes that follow.

type (
	// deltaWriter collects the operations of a delta.
	deltaWriter struct {
		ops     []byte
		pending []byte
	}

	// deltaReader reads the operations of a delta.
	deltaReader struct {
		ops *bytes.Reader
		out []byte
	}
)

// encodeDelta returns the operations that turn the base into the target.
func encodeDelta(base, target []byte) ([]byte, error) {
	old, fresh := lines(base), lines(target)
	places := make(map[string][]int, len(old))
	for i, line := range old {
		places[string(line)] = append(places[string(line)], i)
	}
	w := &deltaWriter{}
	next := 0
	for i := 0; i < len(fresh); {
		start, found := place(places[string(fresh[i])], next)
		if !found {
			w.pending = append(w.pending, fresh[i]...)
			i++
			continue
		}
		length := common(old[start:], fresh[i:])
		w.copy(start, length)
		next = start + length
		i += length
	}
	w.flush()
	return compress(w.ops)
}

// decodeDelta applies a delta to the base.
func decodeDelta(base, delta []byte) ([]byte, error) {
	ops, err := decompress(delta)
	if err != nil {
		return nil, err
	}
	r := &deltaReader{ops: bytes.NewReader(ops)}
	old := lines(base)
	for r.ops.Len() > 0 {
		if err := r.apply(old); err != nil {
			return nil, err
		}
		if len(r.out) > envdoc.MaxBody {
			return nil, errs.New(errs.TooLarge, "the delta makes a body of over %d bytes", envdoc.MaxBody)
		}
	}
	return r.out, nil
}

func (w *deltaWriter) copy(start, length int) {
	w.flush()
	w.ops = binary.AppendUvarint(w.ops, uint64(length)<<1|1)
	w.ops = binary.AppendUvarint(w.ops, uint64(start))
}

func (w *deltaWriter) flush() {
	if len(w.pending) == 0 {
		return
	}
	w.ops = binary.AppendUvarint(w.ops, uint64(len(w.pending))<<1)
	w.ops = append(w.ops, w.pending...)
	w.pending = nil
}

func (r *deltaReader) apply(old [][]byte) error {
	head, err := binary.ReadUvarint(r.ops)
	if err != nil {
		return malformed()
	}
	length := head >> 1
	if head&1 == 0 {
		return r.insert(length)
	}
	start, err := binary.ReadUvarint(r.ops)
	if err != nil || start > uint64(len(old)) || length > uint64(len(old))-start {
		return malformed()
	}
	for _, line := range old[start : start+length] {
		r.out = append(r.out, line...)
	}
	return nil
}

func (r *deltaReader) insert(length uint64) error {
	if length > uint64(r.ops.Len()) {
		return malformed()
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(r.ops, text); err != nil {
		return malformed()
	}
	r.out = append(r.out, text...)
	return nil
}

// place chooses the first place that is not before the next line of the base, or else the first one.
func place(places []int, next int) (int, bool) {
	for _, p := range places {
		if p >= next {
			return p, true
		}
	}
	if len(places) == 0 {
		return 0, false
	}
	return places[0], true
}

// common returns how many lines two texts share at their start.
func common(a, b [][]byte) int {
	n := 0
	for n < len(a) && n < len(b) && bytes.Equal(a[n], b[n]) {
		n++
	}
	return n
}

// lines splits a text after each line feed.
func lines(text []byte) [][]byte {
	if len(text) == 0 {
		return nil
	}
	out := bytes.SplitAfter(text, []byte("\n"))
	if len(out[len(out)-1]) == 0 {
		out = out[:len(out)-1]
	}
	return out
}

func compress(ops []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestCompression)
	if err != nil {
		return nil, errs.New(errs.Internal, "compressing a delta: %v", err)
	}
	if _, err := w.Write(ops); err != nil {
		return nil, errs.New(errs.Internal, "compressing a delta: %v", err)
	}
	if err := w.Close(); err != nil {
		return nil, errs.New(errs.Internal, "compressing a delta: %v", err)
	}
	return out.Bytes(), nil
}

func decompress(delta []byte) ([]byte, error) {
	const limit = 2 * envdoc.MaxBody
	r := flate.NewReader(bytes.NewReader(delta))
	ops, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil || len(ops) > limit {
		return nil, malformed()
	}
	return ops, nil
}

func malformed() error {
	return errs.New(errs.Invalid, "the delta is malformed")
}
