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
		set := testSettings()
		set.Cluster.Teams = append(set.Cluster.Teams, config.Team{Name: "guest"})
		w := NewCluster(set, machineTypes, 2, seed)
		for i := range 6 {
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		w.Start(0)
		w.Start(1)
		for n := range 20 {
			spec, run := testJob(n, 0)
			spec.Team, spec.Tasks, spec.Priority = "guest", 1+n%3*20, wire.PriorityBestEffort
			w.At(time.Duration(2+n)*time.Second, func() { w.Submit(spec, run) })
		}
		w.Run(200 * time.Second)
		for id, j := range w.jobs {
			require.True(t, j.accepted, "%s was refused", id)
		}
		require.Empty(t, w.Unfinished())
		require.Empty(t, w.Violations)
	}
}
