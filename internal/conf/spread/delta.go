package spread

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/magnoliawalk/magnoliawalk/internal/conf/envdoc"
	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// A delta is a list of operations, compressed with DEFLATE. Each operation starts with a variable-length integer: 2n+1
// copies n lines of the base, starting at the line whose number (from 0) follows; 2n inserts the n bytes that follow.

type (
	// deltaWriter encodes the operations of a delta. Bytes to insert stay in pending until the next copy or the end.
	deltaWriter struct {
		ops     []byte
		pending []byte
	}

	// deltaReader applies the operations of a delta and collects the result in out.
	deltaReader struct {
		ops *bytes.Reader
		out []byte
	}
)

// encodeDelta returns the delta that turns the base into the target.
func encodeDelta(base, target []byte) ([]byte, error) {
	baseLines, targetLines := lines(base), lines(target)
	positions := make(map[string][]int, len(baseLines))
	for i, line := range baseLines {
		positions[string(line)] = append(positions[string(line)], i)
	}
	w := &deltaWriter{}
	next := 0
	for i := 0; i < len(targetLines); {
		start, found := choosePosition(positions[string(targetLines[i])], next)
		if !found {
			w.pending = append(w.pending, targetLines[i]...)
			i++
			continue
		}
		length := commonPrefix(baseLines[start:], targetLines[i:])
		w.copy(start, length)
		next = start + length
		i += length
	}
	w.flush()
	return compress(w.ops)
}

// decodeDelta applies a delta to the base and returns the target. The error is of kind Invalid when the delta is
// malformed, and of kind TooLarge when the target exceeds envdoc.MaxBody.
func decodeDelta(base, delta []byte) ([]byte, error) {
	ops, err := decompress(delta)
	if err != nil {
		return nil, err
	}
	r := &deltaReader{ops: bytes.NewReader(ops)}
	baseLines := lines(base)
	for r.ops.Len() > 0 {
		if err := r.apply(baseLines); err != nil {
			return nil, err
		}
		if len(r.out) > envdoc.MaxBody {
			return nil, errs.New(errs.TooLarge, "the delta produces a body larger than %d bytes", envdoc.MaxBody)
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

func (r *deltaReader) apply(baseLines [][]byte) error {
	opcode, err := binary.ReadUvarint(r.ops)
	if err != nil {
		return malformedDelta()
	}
	length := opcode >> 1
	if opcode&1 == 0 {
		return r.insert(length)
	}
	start, err := binary.ReadUvarint(r.ops)
	if err != nil || start > uint64(len(baseLines)) || length > uint64(len(baseLines))-start {
		return malformedDelta()
	}
	for _, line := range baseLines[start : start+length] {
		r.out = append(r.out, line...)
	}
	return nil
}

func (r *deltaReader) insert(length uint64) error {
	if length > uint64(r.ops.Len()) {
		return malformedDelta()
	}
	text := make([]byte, length)
	if _, err := io.ReadFull(r.ops, text); err != nil {
		return malformedDelta()
	}
	r.out = append(r.out, text...)
	return nil
}

// choosePosition returns the first of the ascending positions that is not before next, the line of the base after the
// last copy, or else the first position. It returns false when there is none.
func choosePosition(positions []int, next int) (int, bool) {
	for _, p := range positions {
		if p >= next {
			return p, true
		}
	}
	if len(positions) == 0 {
		return 0, false
	}
	return positions[0], true
}

// commonPrefix returns the number of equal lines at the start of two texts.
func commonPrefix(a, b [][]byte) int {
	n := 0
	for n < len(a) && n < len(b) && bytes.Equal(a[n], b[n]) {
		n++
	}
	return n
}

// lines splits a text after each line feed. The line feeds stay in the lines.
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
		return nil, malformedDelta()
	}
	return ops, nil
}

func malformedDelta() error {
	return errs.New(errs.Invalid, "the delta is malformed")
}
