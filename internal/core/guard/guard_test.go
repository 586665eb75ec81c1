package guard

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

const (
	callerToken   = "caller-token-0123456789"
	operatorToken = "operator-token-0123456789"
)

// statusOf returns the HTTP status of a call with the header, to a handler that requires one of the roles.
func statusOf(t *testing.T, header string, roles ...Role) int {
	t.Helper()
	g, err := New(Config{CallerTokens: ParseSecrets("an-older-caller-token, " + callerToken), OperatorTokens: ParseSecrets(operatorToken)})
	if err != nil {
		t.Fatal(err)
	}
	next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r := httptest.NewRequest(http.MethodPost, "/v1/env/put", nil)
	r.Header.Set(headerToken, header)
	w := httptest.NewRecorder()
	g.Require(next, roles...).ServeHTTP(w, r)
	return w.Code
}

func TestOnlyTheRoleMayCall(t *testing.T) {
	cases := []struct {
		name, header string
		roles        []Role
		want         int
	}{
		{"no token", "", []Role{RoleCaller, RoleOperator}, http.StatusForbidden},
		{"empty token", tokenPrefix, []Role{RoleCaller, RoleOperator}, http.StatusForbidden},
		{"wrong token", tokenPrefix + callerToken + "x", []Role{RoleCaller}, http.StatusForbidden},
		{"without the scheme", callerToken, []Role{RoleCaller}, http.StatusForbidden},
		{"caller as caller", tokenPrefix + callerToken, []Role{RoleCaller}, http.StatusOK},
		{"caller with the older token", tokenPrefix + "an-older-caller-token", []Role{RoleCaller}, http.StatusOK},
		{"caller as operator", tokenPrefix + callerToken, []Role{RoleOperator}, http.StatusForbidden},
		{"operator as caller", tokenPrefix + operatorToken, []Role{RoleCaller}, http.StatusForbidden},
		{"operator as either", tokenPrefix + operatorToken, []Role{RoleCaller, RoleOperator}, http.StatusOK},
		{"nobody is allowed", tokenPrefix + operatorToken, nil, http.StatusForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := statusOf(t, c.header, c.roles...); got != c.want {
				t.Fatalf("got status %d, want %d", got, c.want)
			}
		})
	}
}

func TestNoTokensRefuseEverybody(t *testing.T) {
	g, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set(headerToken, tokenPrefix)
	if _, err := g.RoleOf(r); !errs.Is(err, errs.Denied) {
		t.Fatalf("got %v, want kind Denied", err)
	}
}

func TestBadTokensAreRefused(t *testing.T) {
	both := ParseSecrets(callerToken)
	for name, c := range map[string]Config{
		"short":         {CallerTokens: ParseSecrets("short")},
		"for two roles": {CallerTokens: both, OperatorTokens: both},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := New(c); !errs.Is(err, errs.Invalid) {
				t.Fatalf("got %v, want kind Invalid", err)
			}
		})
	}
}

func TestSecretIsNeverShown(t *testing.T) {
	s := NewSecret(callerToken)
	holder := struct{ Token Secret }{s}
	encoded, err := json.Marshal(holder)
	if err != nil {
		t.Fatal(err)
	}
	shown := []string{string(encoded), s.String(), fmt.Sprint(holder), errs.New(errs.Invalid, "%v", s).Error()}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		shown = append(shown, fmt.Sprintf(verb, s), fmt.Sprintf(verb, &holder))
	}
	for _, text := range shown {
		if strings.Contains(text, callerToken) || strings.Contains(text, fmt.Sprintf("%x", callerToken)) {
			t.Fatalf("the text of the secret appears in: %s", text)
		}
	}
}
