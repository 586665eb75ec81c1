package expose

import (
	"net/http"
	"net/http/pprof"
)

// profilePrefix is the path under which profiles are served.
const profilePrefix = "/debug/pprof/"

// WithProfiles returns a handler that serves the profiles of the process under profilePrefix, and everything else by next. A
// profile of the processor slows the process while it is taken, and shows names of functions to whoever may read the metrics.
func WithProfiles(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(profilePrefix, pprof.Index)
	mux.HandleFunc(profilePrefix+"cmdline", pprof.Cmdline)
	mux.HandleFunc(profilePrefix+"profile", pprof.Profile)
	mux.HandleFunc(profilePrefix+"symbol", pprof.Symbol)
	mux.HandleFunc(profilePrefix+"trace", pprof.Trace)
	mux.Handle("/", next)
	return mux
}
