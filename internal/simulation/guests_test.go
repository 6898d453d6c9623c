package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestGuestsAreServed guards teams that are listed with neither a guarantee nor a
// limit: a limit of 0 is none. Once all that they submitted was refused for ever.
func TestGuestsAreServed(t *testing.T) {
	for seed := range uint64(3) {
		settings := testSettings()
		settings.Cluster.Teams = append(settings.Cluster.Teams, config.Team{Name: "guest"})
		cluster := NewCluster(settings, machineTypes, 2, seed)
		for i := range 6 {
			cluster.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		cluster.Start(0)
		cluster.Start(1)
		for n := range 20 {
			spec, run := testJob(n, 0)
			spec.Team, spec.Tasks, spec.Priority = "guest", 1+n%3*20, wire.PriorityBestEffort
			cluster.At(time.Duration(2+n)*time.Second, func() { cluster.Submit(spec, run) })
		}
		cluster.Run(200 * time.Second)
		for id, job := range cluster.jobs {
			require.True(t, job.accepted, "%s was refused", id)
		}
		require.Empty(t, cluster.Unfinished())
		require.Empty(t, cluster.Violations)
	}
}
