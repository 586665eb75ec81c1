package relay

import "time"

const (
	// maxReadingAge is how old a reading of a relay's clock may be. Two clocks of which one is 2% slow differ by 0.2 s then,
	// well within transitMargin.
	maxReadingAge = 10 * time.Second
	// readingInterval is the age at which a reading is replaced by any other, so that a link in use always has one.
	readingInterval = maxReadingAge / 2
	// formerBuild stands for a relay of a former build, which tells no reading. One that was replaced meanwhile refuses it.
	formerBuild Process = -1
)

// relayClock is what a leader knows of a relay's clock. The zero value knows nothing.
type relayClock struct {
	reading    Reading
	receivedAt time.Time
}

// observe notes a reading that was received at the given time. One that took longer to arrive than the present one is less
// exact, and used only once that is old.
func (c *relayClock) observe(r Reading, at time.Time) {
	if r.Process == 0 {
		r.Process = formerBuild
	}
	waited := at.Sub(c.receivedAt)
	if r.Process != c.reading.Process || waited >= readingInterval || waited <= r.At-c.reading.At {
		c.reading, c.receivedAt = r, at
	}
}

// isKnown reports whether there is a reading that is recent enough.
func (c *relayClock) isKnown(now time.Time) bool {
	return c.reading.Process != 0 && c.age(now) <= maxReadingAge
}

// age returns how long ago the reading was received.
func (c *relayClock) age(now time.Time) time.Duration {
	return now.Sub(c.receivedAt)
}
