package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/capacity"
)

// TestCapacityShortageBacksOff: an offer is not asked for again at once, ever later while it
// stays short, and at once after the cloud had machines.
func TestCapacityShortageBacksOff(t *testing.T) {
	shortages := capacityShortages{}
	key := capacity.OfferKey{Type: "small", Zone: "east"}
	now := Time(time.Hour)
	for _, backoff := range []time.Duration{5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, 40 * time.Second} {
		require.False(t, shortages.isShort(key, now))
		shortages.note(key, now)
		require.True(t, shortages.isShort(key, now.Add(backoff-1)))
		require.False(t, shortages.isShort(key, now.Add(backoff)))
		now = now.Add(backoff)
	}
	shortages.note(key, now)
	shortages.clear(key)
	require.False(t, shortages.isShort(key, now))
}

// TestPartitionDetector: a zone counts as partitioned when nearly all of its machines are
// silent while most of the fleet is heard.
func TestPartitionDetector(t *testing.T) {
	const silence = 5 * time.Second
	for _, test := range []struct {
		name                          string
		heard, silent, heardElsewhere int
		partitioned                   bool
	}{
		{"nearly all silent", 1, 10, 20, true},
		{"two are too few", 0, 2, 20, false},
		{"many are heard", 4, 10, 20, false},
		{"the whole fleet is silent", 1, 10, 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector := partitionDetector{zones: map[string]partition{}}
			review := &terminationReview{
				reporting: test.heard + test.silent + test.heardElsewhere,
				silent:    test.silent,
				zones:     map[string]*zoneReview{"east": {responsive: test.heard, silent: test.silent}, "west": {responsive: test.heardElsewhere}},
			}
			now := Time(time.Hour)
			detector.update(review, silence, now)
			_, partitioned := detector.zones["east"]
			require.Equal(t, test.partitioned, partitioned)
			require.NotContains(t, detector.zones, "west")
		})
	}
}

// TestPartitionEnds: a zone is no longer partitioned once its machines are heard again, or
// nothing has shown the partition for a while.
func TestPartitionEnds(t *testing.T) {
	const silence = 5 * time.Second
	seenAt := Time(time.Hour)
	for _, test := range []struct {
		name        string
		after       time.Duration
		lastHeardAt Time
		partitioned bool
	}{
		{"nothing heard", partitionLifetime, 0, true},
		{"heard just after it was seen", silence, seenAt.Add(silence), true},
		{"heard for longer", silence, seenAt.Add(silence + 1), false},
		{"lifetime over", partitionLifetime + 1, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector := partitionDetector{zones: map[string]partition{"east": {lastSeenAt: seenAt, silent: 7}}}
			detector.update(&terminationReview{zones: map[string]*zoneReview{"east": {lastHeartbeatAt: test.lastHeardAt}}}, silence, seenAt.Add(test.after))
			require.Equal(t, test.partitioned, detector.silentMachines("east") == 7)
		})
	}
}

// TestTerminationLimiter: the terminations of silent machines are bounded by a part of the
// fleet, half of it kept for machines with critical tasks, and the bound is per window.
func TestTerminationLimiter(t *testing.T) {
	for _, test := range []struct {
		name                  string
		reporting             int
		nonCritical, critical int // terminations that are admitted
	}{
		{"small fleet", 3, 2, 2},
		{"large fleet", 100, 13, 12},
	} {
		t.Run(test.name, func(t *testing.T) {
			limiter := &terminationLimiter{}
			now := Time(time.Hour)
			admitted := func(critical bool) int {
				count := 0
				for limiter.admit(test.reporting, critical, now) {
					count++
				}
				return count
			}
			require.Equal(t, test.nonCritical, admitted(false))
			require.Equal(t, test.critical, admitted(true))
			now = now.Add(silentTerminationWindow)
			require.Zero(t, admitted(true))
			now = now.Add(1)
			require.Equal(t, test.nonCritical+test.critical, admitted(true))
		})
	}
}

// TestLateMachinesAreAwaitedLonger: a machine is given up early only if one of its type that
// was launched later has joined, and none joined late lately.
func TestLateMachinesAreAwaitedLonger(t *testing.T) {
	launchedAt := Time(time.Hour)
	now := launchedAt.Add(time.Minute)
	delays := provisioningDelays{}
	require.Equal(t, abandonFactorWhenLate, delays.abandonFactor("small", launchedAt, now), "none has joined yet")
	require.False(t, delays.noteJoined("small", launchedAt.Add(time.Second), false, now))
	require.Equal(t, abandonFactor, delays.abandonFactor("small", launchedAt, now))
	require.Equal(t, abandonFactorWhenLate, delays.abandonFactor("large", launchedAt, now), "of another type")
	require.True(t, delays.noteJoined("small", launchedAt.Add(time.Second), true, now), "the first that is late")
	require.False(t, delays.noteJoined("small", launchedAt.Add(time.Second), true, now), "one more")
	require.Equal(t, abandonFactorWhenLate, delays.abandonFactor("small", launchedAt, now))
	require.Equal(t, abandonFactor, delays.abandonFactor("small", launchedAt, now.Add(lateJoinLifetime+1)))
}
