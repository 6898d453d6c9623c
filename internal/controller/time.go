package controller

import "time"

// Time is a point in time on the monotonic clock of this process.
type Time time.Duration

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }
