// Package guard authenticates and authorizes calls: of callers and operators by bearer token, of daemons by mutual TLS.
package guard

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
	"github.com/magnoliawalk/magnoliawalk/internal/core/rest"
)

// Roles of users of the HTTP interface. Daemons do not use it; they call each other over peer connections.
const (
	// RoleCaller submits jobs, sends requests and reads their state.
	RoleCaller Role = "Caller"
	// RoleOperator edits and promotes environment documents and reads everything.
	RoleOperator Role = "Operator"
)

// MinTokenBytes is the minimum length of a token, in bytes.
const MinTokenBytes = 16

const (
	headerToken = "Authorization"
	tokenPrefix = "Bearer "
)

type (
	// Role is a set of rights. No role includes the rights of another one.
	Role string

	// Config lists the tokens of each role. A role may have several tokens, so that tokens can be rotated without
	// interruption. Nobody can have a role without tokens.
	Config struct {
		CallerTokens   []Secret
		OperatorTokens []Secret
	}

	// Guard checks the bearer tokens of HTTP calls. It is safe for concurrent use.
	Guard struct {
		tokens []token
	}

	// token is a bearer token, of which only the digest is kept.
	token struct {
		role   Role
		digest [sha256.Size]byte
	}
)

// New returns a guard for the tokens. It fails with Invalid if a token is shorter than MinTokenBytes or is listed for
// both roles.
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

// Require returns a handler that forwards a call to next if its token has one of the roles, and denies it otherwise.
func (g *Guard) Require(next http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := g.authorize(r, roles); err != nil {
			rest.WriteError(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// RoleOf returns the role of the call's bearer token, or an error of kind Denied.
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

// authorize returns an error of kind Denied unless the call has one of the roles.
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

// roleOfDigest returns the role of the token with the digest, or an empty role. It compares with every token in
// constant time, so that its duration reveals nothing about the tokens.
func (g *Guard) roleOfDigest(digest [sha256.Size]byte) Role {
	var found Role
	for _, t := range g.tokens {
		if subtle.ConstantTimeCompare(t.digest[:], digest[:]) == 1 {
			found = t.role
		}
	}
	return found
}

// addTokens adds the tokens of a role after checking them.
func (g *Guard) addTokens(role Role, secrets []Secret) error {
	for _, s := range secrets {
		if len(s.Reveal()) < MinTokenBytes {
			return errs.New(errs.Invalid, "a token of role %s has fewer than %d bytes", role, MinTokenBytes)
		}
		digest := sha256.Sum256([]byte(s.Reveal()))
		if known := g.roleOfDigest(digest); known != "" && known != role {
			return errs.New(errs.Invalid, "a token is listed for both roles %s and %s; it may have only one role", known, role)
		}
		g.tokens = append(g.tokens, token{role: role, digest: digest})
	}
	return nil
}
