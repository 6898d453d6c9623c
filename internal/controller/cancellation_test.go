package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// newWatermarkSender makes a controller with two siblings whose cache was current at second 10, at
// revision 100, and which has sent a watermark at each of the seconds 10 to 14; it is second 20.
func newWatermarkSender() *Controller {
	settings := &config.Settings{Label: "rig-0", Siblings: []config.Sibling{{Label: "rig-1"}, {Label: "rig-2"}},
		Cluster: config.Cluster{Zones: []string{"east"}, Workers: config.Workers{ReportS: 10, LeaseS: 45, CancelS: 65},
			State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}}
	c := newTestController(settings)
	c.cache.loadState, c.cache.revision = cacheLoaded, 100
	for i := range 5 {
		c.now = Time(10+i) * Time(time.Second)
		c.newWatermark()
	}
	c.cancellations.cacheCurrentAt, c.now = Time(10*time.Second), Time(20*time.Second)
	return c
}

// watermarkFrom is a sibling's watermark that acknowledges the given one of ours.
func watermarkFrom(c *Controller, from string, process, sequence, acknowledged uint64, since wire.Revision, cancellations ...wire.Cancellation) *wire.PeerMessage {
	ack := wire.WatermarkAck{Process: c.cancellations.process, Sequence: acknowledged}
	return &wire.PeerMessage{From: from, Watermark: &wire.CancellationWatermark{Process: process, Sequence: sequence, Revision: since, Since: since,
		Acks: map[string]wire.WatermarkAck{c.settings.Label: ack}, Cancellations: cancellations}}
}

func at(s float64) Time { return Time(s * float64(time.Second)) }

// TestWatermarksBoundKnownCancellations guards up to when a controller without the state store
// knows of cancellations by its siblings' watermarks. A watermark reaches as far as the one of ours
// that it acknowledges, however late the message comes; all siblings have to send theirs; and a
// process that ended may have told users of cancellations that no watermark lists, until the cache
// was current since.
func TestWatermarksBoundKnownCancellations(t *testing.T) {
	c := newWatermarkSender()
	require.Equal(t, at(10), c.cancellationsKnownAt())
	// First messages: earlier processes of theirs may have told users anything until now.
	c.handlePeerMessage(watermarkFrom(c, "rig-1", 7, 1, 5, 100))
	c.handlePeerMessage(watermarkFrom(c, "rig-2", 8, 1, 5, 100))
	require.Equal(t, at(10), c.cancellationsKnownAt(), "the cache was not current since they were first heard")
	c.cancellations.noteCacheCurrent(at(20))
	c.now = at(40)
	for range 3 {
		c.newWatermark() // 6 to 8, at second 40
	}
	c.now = at(50)
	c.handlePeerMessage(watermarkFrom(c, "rig-1", 7, 2, 8, 100))
	require.Equal(t, at(20), c.cancellationsKnownAt(), "one of them has sent nothing new")
	c.handlePeerMessage(watermarkFrom(c, "rig-2", 8, 2, 6, 100))
	require.Equal(t, at(40), c.cancellationsKnownAt(), "as far as both have acknowledged ours, not until now")
	require.True(t, c.canRenewLeases())
	require.False(t, c.canLaunch())
	c.now = at(40 + 16.1)
	require.False(t, c.canRenewLeases(), "one more lease would outlast cancel_s")

	// A cancellation that is listed is known; a list that begins after the cache's revision proves
	// nothing.
	c.newWatermark() // 9
	c.handlePeerMessage(watermarkFrom(c, "rig-1", 7, 3, 9, 100, wire.Cancellation{Job: "wk-000001", Version: 101}))
	c.handlePeerMessage(watermarkFrom(c, "rig-2", 8, 3, 9, 140))
	completion, ok := c.cache.completion("wk-000001")
	require.True(t, ok)
	require.Equal(t, wire.StatusCancelled, completion.Status)
	require.Equal(t, at(40), c.cancellationsKnownAt())
	c.handlePeerMessage(watermarkFrom(c, "rig-2", 8, 4, 9, 100))
	require.Equal(t, at(40+16.1), c.cancellationsKnownAt())

	// A new process of a sibling: what the one before told users last is not known.
	c.newWatermark() // 10
	c.handlePeerMessage(watermarkFrom(c, "rig-2", 9, 1, 10, 100))
	require.Equal(t, at(20), c.cancellationsKnownAt())
	require.False(t, c.canRenewLeases())
	// An acknowledgement of an earlier process of ours proves nothing.
	c.handlePeerMessage(&wire.PeerMessage{From: "rig-1", Watermark: &wire.CancellationWatermark{Process: 7, Sequence: 9,
		Acks: map[string]wire.WatermarkAck{"rig-0": {Process: c.cancellations.process + 1, Sequence: 3}}}})
	require.Equal(t, at(20), c.cancellationsKnownAt())
}

// TestWatermarkListsAllCancellations: a watermark lists all cancellations after the revision that it
// names, whatever came in between, and names a later one rather than leave some out.
func TestWatermarkListsAllCancellations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newWatermarkSender()
		all := map[wire.Revision]wire.JobID{}
		version := wire.Revision(100)
		for i := range rapid.IntRange(0, 900).Draw(t, "cancellations") {
			version += wire.Revision(rapid.IntRange(1, 3).Draw(t, "step"))
			id := wire.JobID(wire.TaskID{Job: "wk-1", Index: i}.String())
			c.apply(record.JobKey(id), encodePlain(record.CompletedJob{Completion: record.Completion{Status: wire.StatusCancelled}}), version)
			all[version] = id
			if rapid.IntRange(0, 200).Draw(t, "known to a sibling") == 0 {
				p := rapid.SampledFrom([]string{"rig-1", "rig-2"}).Draw(t, "by")
				c.handlePeerMessage(watermarkFrom(c, p, 7, 1, 5, version))
			}
		}
		c.cache.revision = version
		v := c.newWatermark()
		listed := map[wire.Revision]wire.JobID{}
		for _, w := range v.Cancellations {
			listed[w.Version] = w.Job
		}
		require.LessOrEqual(t, len(listed), maxRecentCancellations)
		for s, id := range all {
			if s > v.Since {
				require.Equal(t, id, listed[s])
			}
		}
	})
}
