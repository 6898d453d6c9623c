package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/capacity"
)

// TestCapacityShortageBacksOff checks that an offer is not requested again during the pause
// after a shortage, that the pause grows with consecutive shortages up to a limit, and that
// the offer may be requested at once after the cloud provided machines.
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

// TestPartitionDetector checks that a zone counts as partitioned if nearly all of its
// machines are silent while most of the fleet is responsive.
func TestPartitionDetector(t *testing.T) {
	const silence = 5 * time.Second
	for _, test := range []struct {
		name                                    string
		responsive, silent, responsiveElsewhere int
		partitioned                             bool
	}{
		{"nearly all silent", 1, 10, 20, true},
		{"too few machines", 0, 2, 20, false},
		{"many are responsive", 4, 10, 20, false},
		{"the whole fleet is silent", 1, 10, 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector := partitionDetector{zones: map[string]partition{}}
			review := &terminationReview{
				reporting: test.responsive + test.silent + test.responsiveElsewhere,
				silent:    test.silent,
				zones:     map[string]*zoneReview{"east": {responsive: test.responsive, silent: test.silent}, "west": {responsive: test.responsiveElsewhere}},
			}
			now := Time(time.Hour)
			detector.update(review, silence, now)
			_, partitioned := detector.zones["east"]
			require.Equal(t, test.partitioned, partitioned)
			require.NotContains(t, detector.zones, "west")
		})
	}
}

// TestPartitionEnds checks that a zone no longer counts as partitioned once its machines send
// heartbeats again, or if nothing has indicated the partition for a while.
func TestPartitionEnds(t *testing.T) {
	const silence = 5 * time.Second
	seenAt := Time(time.Hour)
	for _, test := range []struct {
		name            string
		after           time.Duration
		lastHeartbeatAt Time
		partitioned     bool
	}{
		{"no heartbeat", partitionLifetime, 0, true},
		{"heartbeat soon after the last evidence", silence, seenAt.Add(silence), true},
		{"heartbeat later", silence, seenAt.Add(silence + 1), false},
		{"lifetime over", partitionLifetime + 1, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			detector := partitionDetector{zones: map[string]partition{"east": {lastDetectedAt: seenAt, silent: 7}}}
			detector.update(&terminationReview{zones: map[string]*zoneReview{"east": {lastHeartbeatAt: test.lastHeartbeatAt}}}, silence, seenAt.Add(test.after))
			require.Equal(t, test.partitioned, detector.silentMachines("east") == 7)
		})
	}
}

// TestTerminationLimiter checks that the terminations of silent machines within a time window
// are limited to a part of the fleet, half of which is kept for machines with critical tasks.
func TestTerminationLimiter(t *testing.T) {
	for _, test := range []struct {
		name                  string
		reporting             int
		nonCritical, critical int // expected numbers of admitted terminations
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

// TestLateMachinesAreAwaitedLonger checks that the shorter time limit for joining applies to
// a machine only if a machine of its type that was launched later has joined, and none has
// joined late recently.
func TestLateMachinesAreAwaitedLonger(t *testing.T) {
	launchedAt := Time(time.Hour)
	now := launchedAt.Add(time.Minute)
	delays := provisioningDelays{}
	require.Equal(t, abandonFactorWhenLate, delays.abandonFactor("small", launchedAt, now), "no machine has joined yet")
	require.False(t, delays.noteJoined("small", launchedAt.Add(time.Second), false, now))
	require.Equal(t, abandonFactor, delays.abandonFactor("small", launchedAt, now))
	require.Equal(t, abandonFactorWhenLate, delays.abandonFactor("large", launchedAt, now), "no machine of this type has joined yet")
	require.True(t, delays.noteJoined("small", launchedAt.Add(time.Second), true, now), "first late machine")
	require.False(t, delays.noteJoined("small", launchedAt.Add(time.Second), true, now), "second late machine")
	require.Equal(t, abandonFactorWhenLate, delays.abandonFactor("small", launchedAt, now))
	require.Equal(t, abandonFactor, delays.abandonFactor("small", launchedAt, now.Add(lateJoinLifetime+1)))
}
