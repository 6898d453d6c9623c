package controller

import "time"

// Time is a moment on the steady clock of this process.
type Time time.Duration

// Add is the moment d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub is the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }
