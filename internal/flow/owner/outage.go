package owner

import "time"

const (
	// minOutageDelay and maxOutageDelay bound the time after which callers should retry while the store confirms no write.
	// If the store is unreachable for this leader only, another daemon takes over within minOutageDelay.
	minOutageDelay = time.Second
	maxOutageDelay = 4 * time.Second
)

// outageRetryDelay returns after what time a caller should retry. It is the time for which the store has confirmed no write,
// within bounds, since a long outage is expected to go on for longer than a short one. Callers have few tries, and with a
// constant short delay they would use them up before an outage of some seconds is over.
func outageRetryDelay(stalled time.Duration) time.Duration {
	return min(max(stalled, minOutageDelay), maxOutageDelay)
}
