package controller

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestImageRecordsOfLargeFleetFit checks that images are recorded for all machines of a fleet, or
// for at least 6000 of a larger one, and that no value exceeds the size limit.
func TestImageRecordsOfLargeFleetFit(t *testing.T) {
	for _, machines := range []int{100, 4200, 9000} {
		settings := &config.Settings{Cluster: config.Cluster{Zones: []string{"east"}, State: config.State{ValueKB: 8, TxnOps: 12}}}
		c := newTestController(settings)
		for i := range machines {
			machine := c.machine(wire.MachineID(fmt.Sprintf("m-%06d", i)))
			machine.latestHeartbeat = &wire.Heartbeat{}
			for k := range 8 {
				c.now = Time(i*8 + k)
				c.noteImageUse(machine, fmt.Sprintf("image-%02d", k))
			}
		}
		total := 0
		for bucket := range imageBuckets {
			recorded := c.imagesInBucket(bucket)
			total += len(recorded)
			require.LessOrEqual(t, len(encodePlain(recorded)), c.pageLimit())
			for id, images := range recorded {
				require.NotEmpty(t, images, id)
				require.Contains(t, images, "image-07", "the most recently used")
			}
		}
		require.GreaterOrEqual(t, total, min(machines, 6000))
	}
}
