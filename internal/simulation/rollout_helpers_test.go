package simulation

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// plainFormatFeatures returns the features of a controller that reads only the first format.
func plainFormatFeatures() config.Features {
	features := config.DefaultFeatures()
	features.Rollout.NewestFormat = record.FormatPlain
	return features
}

// startOlderRelease starts or restarts a controller that reads only the first format.
func (c *Cluster) startOlderRelease(i int) {
	c.Features[i] = plainFormatFeatures()
	c.Start(i)
}

// startNewerRelease starts or restarts a controller that reads all formats.
func (c *Cluster) startNewerRelease(i int) {
	delete(c.Features, i)
	c.Start(i)
}

// changeRollout requests a change from a controller. The returned reply is filled in when the
// controller answers.
func (c *Cluster) changeRollout(i int, change wire.AdminRolloutChange) *controller.Reply {
	reply := &controller.Reply{}
	c.sendToController(c.controllers[i], func(id controller.RequestID) controller.Input {
		return controller.RolloutChangeRequested{Request: id, Change: change}
	},
		func(received controller.Reply) { *reply = received })
	return reply
}

// runUntilLeaseExpired runs the cluster until the liveness record of a stalled controller is gone.
// Renewals that the network executes late keep its lease for longer than its TTL after the stall. The
// test fails if that takes longer than limit.
func (c *Cluster) runUntilLeaseExpired(t *testing.T, i int, limit time.Duration) {
	t.Helper()
	end := c.now.Add(limit)
	for {
		if _, _, live := c.store.Get(record.LivenessKey(controllerLabel(i))); !live {
			return
		}
		require.Less(t, c.now, end, "the lease of %s has not expired", controllerLabel(i))
		c.Run(checkInterval)
	}
}

// compressedActivation returns the change that activates the compressed format, based on the
// current version of the rollout record.
func (c *Cluster) compressedActivation() wire.AdminRolloutChange {
	format := record.FormatCompressed
	return wire.AdminRolloutChange{Version: c.rolloutVersion(), Activate: &format}
}

// rolloutVersion returns the version of the rollout record in the state store.
func (c *Cluster) rolloutVersion() wire.Revision {
	_, version, _ := c.store.Get(record.RolloutKey)
	return version
}

// requireRolloutChange requests a change from a controller, requires that the reply has the given
// status, and returns the reply's body.
func (c *Cluster) requireRolloutChange(t *testing.T, i int, change wire.AdminRolloutChange, status int) string {
	t.Helper()
	reply := c.changeRollout(i, change)
	c.Run(2 * time.Second)
	body, err := json.Marshal(reply.Body)
	require.NoError(t, err)
	require.Equal(t, status, reply.Status, "%s", body)
	return string(body)
}

// countCompressedRecords returns the number of compressed records in the state store.
func (c *Cluster) countCompressedRecords() int {
	n := 0
	for _, entry := range c.store.List(record.RootPrefix) {
		if strings.HasPrefix(string(entry.Value), `"`) {
			n++
		}
	}
	return n
}

// newLargeValueCluster starts a cluster whose state store accepts values large enough to be
// compressed.
func newLargeValueCluster(seed uint64, controllers int, start func(cluster *Cluster, i int)) *Cluster {
	settings := testSettings()
	settings.Cluster.State.ValueKB = 8
	for i := range settings.Cluster.Teams {
		settings.Cluster.Teams[i].CPUsMax = 60
	}
	return clusterSetup{settings: settings, machines: 12, controllers: controllers, seed: seed, startController: start}.start()
}
