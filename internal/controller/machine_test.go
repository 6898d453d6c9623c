package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/wire"
)

// TestMachineStatusNeverGoesBack guards against a machine that is taken for booting, and therefore
// not probed, because a list is older than its heartbeat or than the list before.
func TestMachineStatusNeverGoesBack(t *testing.T) {
	const id = wire.MachineID("m-000001")
	listed := func(status wire.MachineStatus) func(*Controller) {
		return func(c *Controller) {
			c.applyMachineList([]wire.CloudMachine{{ID: id, Addr: "10.0.0.1:1", Status: status}})
		}
	}
	provisioned := func(c *Controller) { c.applyProvisioned(wire.ProvisionRequest{}, []wire.MachineID{id}) }
	reported := func(c *Controller) {
		c.applyHeartbeat(&wire.Heartbeat{Machine: id, Addr: "10.0.0.1:1", AgentEpoch: 1, Sequence: 1}, false)
	}
	for _, test := range []struct {
		name   string
		events []func(*Controller)
		status wire.MachineStatus
		joined bool
	}{
		{"provisioned", []func(*Controller){provisioned}, wire.MachineBooting, false},
		{"listed as booting", []func(*Controller){provisioned, listed(wire.MachineBooting)}, wire.MachineBooting, false},
		{"reported after it was provisioned", []func(*Controller){provisioned, reported}, wire.MachineRunning, true},
		{"reported before the answer to the request", []func(*Controller){reported, provisioned}, wire.MachineRunning, true},
		{"reported before an older list", []func(*Controller){reported, listed(wire.MachineBooting)}, wire.MachineRunning, true},
		{"older list", []func(*Controller){listed(wire.MachineRunning), listed(wire.MachineBooting)}, wire.MachineRunning, true},
		{"failed, older list", []func(*Controller){listed(wire.MachineFailed), listed(wire.MachineRunning)}, wire.MachineFailed, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestController(&config.Settings{Label: "rig-0", Cluster: config.Cluster{Zones: []string{"east"},
				State: config.State{ValueKB: 8, TxnOps: 12, RPS: 100, WriteRPS: 50}}})
			for _, event := range test.events {
				event(c)
			}
			require.Equal(t, test.status, c.machine(id).scaling.status)
			require.Equal(t, test.joined, c.machine(id).hasJoined())
		})
	}
}
