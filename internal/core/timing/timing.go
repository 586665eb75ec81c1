// Package timing learns how long answers usually take, and so how long to wait for one.
package timing

import "time"

const (
	// meanDivisor and deviationDivisor give one answer the weights 1/meanDivisor and 1/deviationDivisor in the averages, as TCP
	// does for its retransmission timeout (RFC 6298).
	meanDivisor      = 8
	deviationDivisor = 4
	// deviations is by how many mean deviations an answer may exceed the mean.
	deviations = 4
)

// Estimator learns a timeout from the times that answers took. The zero value has learned nothing. It is not safe for concurrent use.
type Estimator struct {
	mean      time.Duration
	deviation time.Duration
	learned   bool
}

// Observe adds the time that one answer took.
func (e *Estimator) Observe(took time.Duration) {
	if !e.learned {
		e.mean, e.deviation, e.learned = took, took/2, true
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / deviationDivisor
	e.mean += (took - e.mean) / meanDivisor
}

// Timeout returns how long to wait for an answer, within the bounds. Without an observation it is the upper one.
func (e *Estimator) Timeout(least, most time.Duration) time.Duration {
	if !e.learned {
		return most
	}
	return min(max(e.mean+deviations*e.deviation, least), most)
}

// Mean returns the moving average of the times; zero without an observation.
func (e *Estimator) Mean() time.Duration {
	return e.mean
}
