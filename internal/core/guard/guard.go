// Package guard tells who may call what: callers and operators by bearer token, daemons by mutual TLS.
package guard

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
)

// Roles of those who call the HTTP interface. Daemons do not use it; they call each other over peer connections.
const (
	// RoleCaller submits jobs, sends requests and reads what became of them.
	RoleCaller Role = "Caller"
	// RoleOperator edits and promotes documents and reads everything.
	RoleOperator Role = "Operator"
)

// MinTokenBytes is the shortest token that is taken, in bytes.
const MinTokenBytes = 16

const (
	headerToken = "Authorization"
	tokenPrefix = "Bearer "
)

type (
	// Role names a group of rights. No role includes another one.
	Role string

	// Config holds the tokens of each role. More than one token makes a change of tokens possible without an
	// interruption. A role without tokens can't be held by anybody.
	Config struct {
		CallerTokens   []Secret
		OperatorTokens []Secret
	}

	// Guard checks the bearer tokens of HTTP calls. It is safe for concurrent use.
	Guard struct {
		tokens []token
	}

	token struct {
		role   Role
		digest [sha256.Size]byte
	}
)

// New returns a guard. It refuses short tokens and a token that stands for two roles.
func New(c Config) (*Guard, error) {
	g := &Guard{}
	if err := g.addTokens(RoleCaller, c.CallerTokens); err != nil {
		return nil, err
	}
	if err := g.addTokens(RoleOperator, c.OperatorTokens); err != nil {
		return nil, err
	}
	return g, nil
}

// Require returns a handler that passes on only calls with a token of one of the roles.
func (g *Guard) Require(next http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := g.authorize(r, roles); err != nil {
			rest.WriteError(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// RoleOf returns the role whose token the call carries.
func (g *Guard) RoleOf(r *http.Request) (Role, error) {
	text, found := strings.CutPrefix(r.Header.Get(headerToken), tokenPrefix)
	if !found {
		return "", errs.New(errs.Denied, "the call carries no bearer token")
	}
	role := g.roleOfDigest(sha256.Sum256([]byte(text)))
	if role == "" {
		return "", errs.New(errs.Denied, "the bearer token is not known")
	}
	return role, nil
}

func (g *Guard) authorize(r *http.Request, roles []Role) error {
	role, err := g.RoleOf(r)
	if err != nil {
		return err
	}
	for _, allowed := range roles {
		if role == allowed {
			return nil
		}
	}
	return errs.New(errs.Denied, "role %s may not call %s", role, r.URL.Path)
}

// roleOfDigest compares with every token, so that its duration tells nothing about them.
func (g *Guard) roleOfDigest(digest [sha256.Size]byte) Role {
	var found Role
	for _, t := range g.tokens {
		if subtle.ConstantTimeCompare(t.digest[:], digest[:]) == 1 {
			found = t.role
		}
	}
	return found
}

func (g *Guard) addTokens(role Role, secrets []Secret) error {
	for _, s := range secrets {
		if len(s.Reveal()) < MinTokenBytes {
			return errs.New(errs.Invalid, "a token of role %s has under %d bytes", role, MinTokenBytes)
		}
		digest := sha256.Sum256([]byte(s.Reveal()))
		if known := g.roleOfDigest(digest); known != "" && known != role {
			return errs.New(errs.Invalid, "one token stands for the roles %s and %s", known, role)
		}
		g.tokens = append(g.tokens, token{role: role, digest: digest})
	}
	return nil
}
