package httpd

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/guard"
)

// wantClosed sends a request and checks whether the server closes the connection after its answer.
func wantClosed(t *testing.T, url string, want bool) {
	t.Helper()
	res, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.Close != want {
		t.Fatalf("connection closed after the answer: %t, want %t", res.Close, want)
	}
}

// TestConnectionsCloseWhileDraining guards against idle connections that stay open during a drain: a request that
// arrives on one while Shutdown closes it fails.
func TestConnectionsCloseWhileDraining(t *testing.T) {
	g, err := guard.New(guard.Config{})
	if err != nil {
		t.Fatal(err)
	}
	s := New(Config{Guard: g})
	server := httptest.NewServer(s.http.Handler)
	defer server.Close()
	wantClosed(t, server.URL+"/health", false)
	s.SetDraining()
	wantClosed(t, server.URL+"/health", true)
}
