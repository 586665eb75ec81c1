// Package once runs each non-idempotent request at most once. The lead of the data centre that an id names as its
// home keeps a table of ids and gives each id to one entry for one dispatch.
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

// Names of the remote service and its methods.
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

// Verdicts of the home on an id.
const (
	// VerdictGo gives the id to the calling entry for one dispatch.
	VerdictGo Verdict = "Go"
	// VerdictWait means that another call of the id is under way.
	VerdictWait Verdict = "Wait"
	// VerdictFinal means that the id has its final answer.
	VerdictFinal Verdict = "Final"
)

const (
	// Generations is how many generations of ids a table keeps.
	Generations = 8

	generationRadix = 36
	markSeparator   = "-"
	markParts       = 3
	tableIDLength   = 12
	maxPageRecords  = 2_000
	maxPageBytes    = 4 << 20
)

type (
	// Verdict is what the home decided on an id.
	Verdict string

	// Generation numbers stretches of time within an epoch. Ids of generations that the table no longer keeps never run.
	Generation uint64

	// TableID names one table of one lead: every time that a daemon becomes lead it starts a new one. Ids run only at
	// the table that they were minted for.
	TableID string

	// Token names one call of one entry that asks for an id; only its holder may dispatch the id or settle it.
	Token [16]byte

	// Mark is what an entry needs to mint ids that the home accepts.
	Mark struct {
		Epoch      types.Epoch
		Table      TableID
		Generation Generation
	}

	// RegisterArgs asks for the right to dispatch an id once.
	RegisterArgs struct {
		ID types.RequestID
		// Content is the digest of the service and body; a different one under the same id is refused.
		Content types.Digest
		Token   Token
		Entry   types.VMID
		// Close, when set, closes an id that was not given out yet with outcome NotRun for this reason.
		Close *errs.Error
		// Wait is how long to wait for the answer of another call that is under way.
		Wait time.Duration
	}

	// RegisterReply is the home's verdict, with the answer when it is final.
	RegisterReply struct {
		Verdict Verdict
		Answer  *types.Answer
		Mark    Mark
	}

	// SettleArgs tells the home how an id that it gave out ended.
	SettleArgs struct {
		ID      types.RequestID
		Content types.Digest
		Token   Token
		Answer  types.Answer
	}

	// SettleReply is empty.
	SettleReply struct{}

	// AskArgs asks what became of an id.
	AskArgs struct {
		ID types.RequestID
	}

	// AskReply is the answer as far as it is known.
	AskReply struct {
		Answer types.Answer
	}

	// MarkArgs asks for the mark.
	MarkArgs struct{}

	// Copied is one final answer that a peer keeps for the home.
	Copied struct {
		Content types.Digest
		Answer  types.Answer
	}

	// CopyArgs hands final answers to a peer of the data centre.
	CopyArgs struct {
		DataCentre types.DataCentre
		Answers    []Copied
	}

	// CopyReply is empty.
	CopyReply struct{}

	// CopiesArgs asks a peer for the answers that it keeps, from a place on.
	CopiesArgs struct {
		DataCentre types.DataCentre
		From       int
	}

	// CopiesReply is one page of answers; More tells that there is another page.
	CopiesReply struct {
		Answers []Copied
		Next    int
		More    bool
	}
)

// NewToken returns a token that no other call has.
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

// markOf reads the mark of an id; an id that was minted without one has an empty table.
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

// Withhold returns an answer without its body, for answers that are too large to be kept. Length and digest stay.
func Withhold(a types.Answer, limit types.Bytes) types.Answer {
	a.Body = nil
	a.Reason = errs.Of(errs.New(errs.TooLarge, "the request ran; its answer of %d bytes is over the %d that are kept", a.Length, limit))
	return a
}

// IsWithheld tells whether the answer is Done without the body that the caller asked for.
func IsWithheld(a *types.Answer) bool {
	return a.Outcome == types.OutcomeDone && a.Reason != nil && a.Reason.Kind == errs.TooLarge && len(a.Body) == 0
}

// Check returns an error when a field of the call is missing or wrong.
func (a *RegisterArgs) Check() error {
	if _, err := types.ParseID(string(a.ID)); err != nil {
		return err
	}
	if a.Wait < 0 || a.Wait > types.MaxDeadline {
		return errs.New(errs.Invalid, "Wait %s must be within 0 and %s", a.Wait, types.MaxDeadline)
	}
	return nil
}

// Check returns an error when the answer is not whole or not of the id.
func (a *SettleArgs) Check() error {
	if _, err := types.ParseID(string(a.ID)); err != nil {
		return err
	}
	if a.Answer.ID != a.ID {
		return errs.New(errs.Invalid, "answer of %s cannot settle %s", a.Answer.ID, a.ID)
	}
	if IsWithheld(&a.Answer) {
		return nil
	}
	return a.Answer.Check()
}

// Check returns an error when an answer is not final and whole.
func (c *Copied) Check() error {
	if _, err := types.ParseID(string(c.Answer.ID)); err != nil {
		return err
	}
	if c.Answer.Outcome != types.OutcomeDone {
		return errs.New(errs.Invalid, "copy of %s has outcome %q", c.Answer.ID, c.Answer.Outcome)
	}
	if IsWithheld(&c.Answer) {
		return nil
	}
	return c.Answer.Check()
}
