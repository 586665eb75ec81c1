package owner

import "time"

const (
	// minOutageDelay and maxOutageDelay bound the time after which callers should retry while the store confirms no write.
	// Another daemon takes over within the lesser one if the store is unreachable for this leader only.
	minOutageDelay = time.Second
	maxOutageDelay = 4 * time.Second
)

// outageRetryDelay returns when a caller should retry, given how long the store has not confirmed a write: after as long
// again, since an outage that has lasted longer is expected to go on for longer. Callers have few tries, and with a short
// delay they use them up before an outage of some seconds is over.
func outageRetryDelay(stalled time.Duration) time.Duration {
	return min(max(stalled, minOutageDelay), maxOutageDelay)
}
