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

// newWatermarkSender returns a controller with two peers. Its cache was current at second 10, at
// revision 100, it has sent a watermark at each of the seconds 10 to 14, and its time is second 20.
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

// watermarkFrom returns a message with a watermark of a peer that acknowledges the watermark of c
// with the sequence number acknowledged.
func watermarkFrom(c *Controller, from string, process, sequence, acknowledged uint64, since wire.Revision, cancellations ...wire.Cancellation) *wire.PeerMessage {
	ack := wire.WatermarkAck{Process: c.cancellations.process, Sequence: acknowledged}
	return &wire.PeerMessage{From: from, Watermark: &wire.CancellationWatermark{Process: process, Sequence: sequence, Revision: since, Since: since,
		Acks: map[string]wire.WatermarkAck{c.settings.Label: ack}, Cancellations: cancellations}}
}

// at returns the time s seconds after the start.
func at(s float64) Time { return Time(s * float64(time.Second)) }

// TestWatermarksBoundKnownCancellations checks up to which time a controller without the state
// store knows of cancellations from its peers' watermarks. A watermark counts up to the sending of
// the controller's own watermark that it acknowledges, however late the message comes. All peers
// have to send watermarks. A process that ended may have confirmed cancellations to users that no
// watermark lists, so the cache has to be current at some time after that.
func TestWatermarksBoundKnownCancellations(t *testing.T) {
	c := newWatermarkSender()
	require.Equal(t, at(10), c.cancellationsKnownAt())
	// These are the first messages, and earlier processes of the peers may have confirmed
	// cancellations to users until now.
	c.handlePeerMessage(watermarkFrom(c, "rig-1", 7, 1, 5, 100))
	c.handlePeerMessage(watermarkFrom(c, "rig-2", 8, 1, 5, 100))
	require.Equal(t, at(10), c.cancellationsKnownAt(), "the cache was not current since the first messages of the peers")
	c.cancellations.noteCacheCurrent(at(20))
	c.now = at(40)
	for range 3 {
		c.newWatermark() // sequence numbers 6 to 8, at second 40
	}
	c.now = at(50)
	c.handlePeerMessage(watermarkFrom(c, "rig-1", 7, 2, 8, 100))
	require.Equal(t, at(20), c.cancellationsKnownAt(), "rig-2 has sent no new watermark")
	c.handlePeerMessage(watermarkFrom(c, "rig-2", 8, 2, 6, 100))
	require.Equal(t, at(40), c.cancellationsKnownAt(), "up to the older of the two acknowledged watermarks, not until now")
	require.True(t, c.canRenewLeases())
	require.False(t, c.canLaunch())
	c.now = at(40 + 16.1)
	require.False(t, c.canRenewLeases(), "one more lease would outlast cancel_s")

	// A listed cancellation is known. A list that begins after the cache's revision does not count,
	// since cancellations in between may be missing.
	c.newWatermark() // sequence number 9
	c.handlePeerMessage(watermarkFrom(c, "rig-1", 7, 3, 9, 100, wire.Cancellation{Job: "wk-000001", Version: 101}))
	c.handlePeerMessage(watermarkFrom(c, "rig-2", 8, 3, 9, 140))
	completion, ok := c.cache.completion("wk-000001")
	require.True(t, ok)
	require.Equal(t, wire.StatusCancelled, completion.Status)
	require.Equal(t, at(40), c.cancellationsKnownAt())
	c.handlePeerMessage(watermarkFrom(c, "rig-2", 8, 4, 9, 100))
	require.Equal(t, at(40+16.1), c.cancellationsKnownAt())

	// After a peer restarts, the cancellations that its previous process confirmed last are not
	// known.
	c.newWatermark() // sequence number 10
	c.handlePeerMessage(watermarkFrom(c, "rig-2", 9, 1, 10, 100))
	require.Equal(t, at(20), c.cancellationsKnownAt())
	require.False(t, c.canRenewLeases())
	// An acknowledgement of a watermark of another process of this controller does not count.
	c.handlePeerMessage(&wire.PeerMessage{From: "rig-1", Watermark: &wire.CancellationWatermark{Process: 7, Sequence: 9,
		Acks: map[string]wire.WatermarkAck{"rig-0": {Process: c.cancellations.process + 1, Sequence: 3}}}})
	require.Equal(t, at(20), c.cancellationsKnownAt())
}

// TestWatermarkListsAllCancellations checks that a watermark lists all cancellations after the
// revision that it states, whatever messages came in between. If there are too many, the watermark
// states a later revision rather than leave some of them out.
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
			if rapid.IntRange(0, 200).Draw(t, "known to a peer") == 0 {
				peer := rapid.SampledFrom([]string{"rig-1", "rig-2"}).Draw(t, "by")
				c.handlePeerMessage(watermarkFrom(c, peer, 7, 1, 5, version))
			}
		}
		c.cache.revision = version
		watermark := c.newWatermark()
		listed := map[wire.Revision]wire.JobID{}
		for _, cancellation := range watermark.Cancellations {
			listed[cancellation.Version] = cancellation.Job
		}
		require.LessOrEqual(t, len(listed), maxRecentCancellations)
		for revision, id := range all {
			if revision > watermark.Since {
				require.Equal(t, id, listed[revision])
			}
		}
	})
}
