package envdoc

import (
	"fmt"
	"sort"
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// maxShownProblems limits the problems that an error message lists.
const maxShownProblems = 20

type (
	// Path identifies a value of a document, as in Services[0].Task.Resources.Cores.
	Path string

	// Problem is one reason to reject a document.
	Problem struct {
		// Line is the line of the document, counted from 1, or 0 when there is none.
		Line int  `json:"Line,omitempty"`
		Path Path `json:"Path"`
		// Reason says what is wrong.
		Reason string `json:"Reason"`
		// Allowed says what would be accepted.
		Allowed string `json:"Allowed"`
		// Impossible means that the value is well formed but can never be met, such as a demand for more than the
		// declared workers or the quota provide.
		Impossible bool `json:"Impossible,omitempty"`
	}

	// Problems holds all reasons to reject a document.
	Problems []Problem
)

// String returns the problem on one line.
func (p Problem) String() string {
	location := string(p.Path)
	if p.Line > 0 {
		location = fmt.Sprintf("line %d: %s", p.Line, p.Path)
	}
	return fmt.Sprintf("%s: %s; allowed: %s", location, p.Reason, p.Allowed)
}

// Err returns nil if there are no problems, an error of kind Impossible if all of them are Impossible, or else one of
// kind Invalid. The message has one line for each of the first maxShownProblems problems and counts the others.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	kind := errs.Impossible
	lines := make([]string, 0, len(p))
	for i, problem := range p {
		if !problem.Impossible {
			kind = errs.Invalid
		}
		if i < maxShownProblems {
			lines = append(lines, problem.String())
		}
	}
	if hidden := len(p) - maxShownProblems; hidden > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", hidden))
	}
	return errs.New(kind, "the document is refused:\n  %s", strings.Join(lines, "\n  "))
}

// sort orders the problems by line.
func (p Problems) sort() {
	sort.SliceStable(p, func(i, j int) bool { return p[i].Line < p[j].Line })
}

// Key returns the path of a field of the value at the path.
func (p Path) Key(name string) Path {
	if p == "" {
		return Path(name)
	}
	return p + "." + Path(name)
}

// Index returns the path of an element of the list at the path.
func (p Path) Index(i int) Path {
	return Path(fmt.Sprintf("%s[%d]", p, i))
}

// parent returns the path without its last key or index. The parent of a top-level field is empty.
func (p Path) parent() Path {
	end := strings.LastIndexAny(string(p), ".[")
	if end < 0 {
		return ""
	}
	return p[:end]
}
