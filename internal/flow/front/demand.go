package front

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the mean of the demand for short calls.
	demandWindow = 5 * time.Second
	// demandHeadroom is how many times the mean demand the daemons for short calls can take, since it comes in bursts.
	demandHeadroom = 4.0
)

// shortDemand is the moving mean of the work that short calls for advice bring, in seconds of work per second.
type shortDemand struct {
	rate float64
	at   time.Time
	// since is from when on calls have been added without a pause of demandWindow.
	since time.Time
}

// add adds the work of a call.
func (d *shortDemand) add(work time.Duration, now time.Time) {
	if now.Sub(d.at) >= demandWindow {
		d.since = now
	}
	d.rate = d.rateAt(now) + work.Seconds()/demandWindow.Seconds()
	d.at = now
}

func (d *shortDemand) rateAt(now time.Time) float64 {
	return d.rate * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandWindow.Seconds())
}

// daemons returns how many daemons the demand needs, each of which gets one call after the other. It returns most until
// the demand has been seen for demandWindow.
func (d *shortDemand) daemons(now time.Time, most int) int {
	if now.Sub(d.at) >= demandWindow || now.Sub(d.since) < demandWindow {
		return most
	}
	return min(most, int(math.Ceil(d.rateAt(now)*demandHeadroom)))
}
