package expose

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// Profiles slow a process and tell about it, so they must be served only where they are asked for, and never hide the metrics.
func TestProfilesAreServedOnlyWhenEnabled(t *testing.T) {
	plain := Handler(metrics.NewRegistry())
	cases := map[string]struct {
		handler     http.Handler
		path        string
		contentType string
	}{
		"MetricsAlone":         {plain, profilePrefix + "goroutine", "text/plain; charset=utf-8"},
		"MetricsBesideProfile": {WithProfiles(plain), "/metrics", "text/plain; charset=utf-8"},
		"Profile":              {WithProfiles(plain), profilePrefix + "goroutine", "application/octet-stream"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			c.handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, c.path, nil))
			if got := w.Header().Get("Content-Type"); w.Code != http.StatusOK || got != c.contentType {
				t.Errorf("status %d, content type %q, want 200 and %q", w.Code, got, c.contentType)
			}
		})
	}
}
