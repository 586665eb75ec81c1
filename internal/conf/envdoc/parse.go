package envdoc

import (
	"reflect"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Parse decodes a document, fills in the defaults and checks the result. Decoding is strict: unknown or repeated keys
// and values of the wrong type are problems. The error, of kind Invalid or Impossible, lists the problems, each with
// its line, path, reason and what is allowed.
func Parse(body []byte) (*Document, error) {
	d, problems := Examine(body)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Examine decodes and checks a document like Parse, but returns the problems as a list. The document is not nil when
// it could be decoded, even if it breaks rules.
func Examine(body []byte) (*Document, Problems) {
	if len(body) > MaxBody {
		return nil, Problems{{Reason: "the document is too large", Allowed: "at most 512 KiB"}}
	}
	root, problems := parseRoot(body)
	if len(problems) > 0 {
		return nil, problems
	}
	document := Default()
	r := reader{lines: make(map[Path]int)}
	r.read(root, reflect.ValueOf(&document).Elem(), "")
	if len(r.problems) > 0 {
		r.problems.sort()
		return nil, r.problems
	}
	found := document.Problems()
	for i := range found {
		found[i].Line = r.nearestLine(found[i].Path)
	}
	found.sort()
	return &document, found
}

// parseRoot parses the body and returns the root of its only YAML document.
func parseRoot(body []byte) (ast.Node, Problems) {
	file, err := parser.ParseBytes(body, 0)
	if err != nil {
		return nil, Problems{{Line: errorLine(err), Reason: errs.Of(err).Message, Allowed: "one YAML document"}}
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, Problems{{Reason: "the body does not hold exactly one document", Allowed: "one YAML document"}}
	}
	return file.Docs[0].Body, nil
}

// errorLine returns the line of a YAML syntax error, or 0 if the error has none.
func errorLine(err error) int {
	located, ok := err.(interface{ GetToken() *token.Token })
	if !ok || located.GetToken() == nil || located.GetToken().Position == nil {
		return 0
	}
	return located.GetToken().Position.Line
}
