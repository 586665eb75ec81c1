// Package once runs each non-idempotent request at most once. Each id names a data centre as its home. The leader of
// that data centre keeps a table of ids and grants each id to one entry for one dispatch.
package once

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/types"
	"github.com/magnoliawalk/magnoliawalk/internal/node/peer"
)

// Names of the RPC service and its methods.
const (
	ServiceName = "Once"

	methodRegister peer.Method = "Once.Register"
	methodSettle   peer.Method = "Once.Settle"
	methodAsk      peer.Method = "Once.Ask"
	methodMark     peer.Method = "Once.Mark"
	methodCopy     peer.Method = "Once.Copy"
	methodCopies   peer.Method = "Once.Copies"
	methodYield    peer.Method = "Once.Yield"
)

// Verdicts of the home on the registration of an id.
const (
	// VerdictGo grants the id to the calling entry for one dispatch.
	VerdictGo Verdict = "Go"
	// VerdictWait means that another call with the id is in flight.
	VerdictWait Verdict = "Wait"
	// VerdictFinal means that the id has its final answer.
	VerdictFinal Verdict = "Final"
)

const (
	// Generations is the number of generations of ids that a table keeps besides the current one.
	Generations = 8

	generationRadix = 36
	markSeparator   = "-"
	markParts       = 3
	tableIDLength   = 12
	maxPageRecords  = 2_000
	maxPageBytes    = 4 << 20
)

type (
	// Verdict is the home's decision on the registration of an id.
	Verdict string

	// Generation numbers the consecutive periods of a table within an epoch. Ids of generations that the table no
	// longer keeps never run.
	Generation uint64

	// TableID identifies one table of one leader: a daemon starts a new one each time that it becomes leader. Ids run
	// only at the table that they were minted for, also after a later leader has adopted its ledger.
	TableID string

	// Token identifies one registration of an id by one entry; only its holder may dispatch the id or report its final
	// answer.
	Token [16]byte

	// Mark holds what an entry needs to mint ids that the home accepts.
	Mark struct {
		Epoch      types.Epoch
		Table      TableID
		Generation Generation
	}

	// RegisterArgs asks for the right to dispatch an id once.
	RegisterArgs struct {
		ID types.RequestID
		// Content is the digest of the service and body. A different one under the same id is rejected; zero matches
		// any.
		Content types.Digest
		Token   Token
		Entry   types.VMID
		// Close, when set, closes an id that was not granted yet with outcome NotRun and this reason.
		Close *errs.Error
		// Wait is how long to wait for the answer of another call with the id that is in flight.
		Wait time.Duration
	}

	// RegisterReply is the home's verdict, with the answer when the verdict is VerdictFinal.
	RegisterReply struct {
		Verdict Verdict
		Answer  *types.Answer
		Mark    Mark
	}

	// SettleArgs reports the final answer of an id that the home granted.
	SettleArgs struct {
		ID      types.RequestID
		Content types.Digest
		Token   Token
		Answer  types.Answer
	}

	// SettleReply is empty.
	SettleReply struct{}

	// AskArgs asks for the answer to an id.
	AskArgs struct {
		ID types.RequestID
	}

	// AskReply is the answer as far as the home knows it.
	AskReply struct {
		Answer types.Answer
	}

	// MarkArgs asks for the current mark.
	MarkArgs struct{}

	// Copied is one final answer that a peer keeps for the home.
	Copied struct {
		Content types.Digest
		Answer  types.Answer
	}

	// CopyArgs sends final answers to a peer of the data centre.
	CopyArgs struct {
		DataCentre types.DataCentre
		Answers    []Copied
	}

	// CopyReply is empty.
	CopyReply struct{}

	// CopiesArgs asks a peer for the answers that it keeps, from the index From on.
	CopiesArgs struct {
		DataCentre types.DataCentre
		From       int
	}

	// CopiesReply is one page of answers. Next is the index of the first answer after them; More means that another
	// page follows.
	CopiesReply struct {
		Answers []Copied
		Next    int
		More    bool
	}
)

// NewToken returns a random token that no other call has.
func NewToken() Token {
	return Token(uuid.New())
}

// Mint returns a new id that carries the mark.
func Mint(home types.DataCentre, mark Mark) types.RequestID {
	parts := []string{
		strconv.FormatUint(uint64(mark.Generation), generationRadix),
		string(mark.Table),
		strings.ReplaceAll(uuid.NewString(), markSeparator, ""),
	}
	id := types.MintedID{Home: home, Epoch: mark.Epoch, Random: strings.Join(parts, markSeparator)}
	return types.RequestID(id.String())
}

// markOf returns the mark that an id carries. For an id that was minted without one, Table is empty.
func markOf(id types.MintedID) Mark {
	parts := strings.Split(id.Random, markSeparator)
	if len(parts) != markParts {
		return Mark{Epoch: id.Epoch}
	}
	generation, err := strconv.ParseUint(parts[0], generationRadix, 64)
	if err != nil {
		return Mark{Epoch: id.Epoch}
	}
	return Mark{Epoch: id.Epoch, Table: TableID(parts[1]), Generation: Generation(generation)}
}

func newTableID() TableID {
	text := strings.ReplaceAll(uuid.NewString(), markSeparator, "")
	return TableID(text[:tableIDLength])
}

// Withhold returns an answer without its body, for answers that are too large to be kept. Length and digest stay, and
// the reason has the kind TooLarge.
func Withhold(a types.Answer, limit types.Bytes) types.Answer {
	a.Body = nil
	a.Reason = errs.Of(errs.New(errs.TooLarge, "the request ran; its answer of %d bytes is over the %d that are kept", a.Length, limit))
	return a
}

// IsWithheld reports whether the answer is Done but lacks its body, as Withhold returns it.
func IsWithheld(a *types.Answer) bool {
	return a.Outcome == types.OutcomeDone && a.Reason != nil && a.Reason.Kind == errs.TooLarge && len(a.Body) == 0
}

// Check returns an error when the id or Wait is missing or invalid.
func (a *RegisterArgs) Check() error {
	if _, err := types.ParseID(string(a.ID)); err != nil {
		return err
	}
	if a.Wait < 0 || a.Wait > types.MaxDeadline {
		return errs.New(errs.Invalid, "Wait %s must be within 0 and %s", a.Wait, types.MaxDeadline)
	}
	return nil
}

// Check returns an error when the answer is incomplete or belongs to another id.
func (a *SettleArgs) Check() error {
	if _, err := types.ParseID(string(a.ID)); err != nil {
		return err
	}
	if a.Answer.ID != a.ID {
		return errs.New(errs.Invalid, "the answer belongs to id %s, want id %s", a.Answer.ID, a.ID)
	}
	if IsWithheld(&a.Answer) {
		return nil
	}
	return a.Answer.Check()
}

// Check returns an error unless the answer has the outcome Done and is complete or withheld.
func (c *Copied) Check() error {
	if _, err := types.ParseID(string(c.Answer.ID)); err != nil {
		return err
	}
	if c.Answer.Outcome != types.OutcomeDone {
		return errs.New(errs.Invalid, "the copy of the answer to id %s has outcome %q, want Done", c.Answer.ID, c.Answer.Outcome)
	}
	if IsWithheld(&c.Answer) {
		return nil
	}
	return c.Answer.Check()
}
