package simulation

import (
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// maxCopiedCallDelay bounds the delay with which the copy of a direct call arrives.
const maxCopiedCallDelay = 135 * time.Second

// copyDirectCall carries out some direct calls once more, at the machine that has the address by
// then. Nobody waits for the answer.
func (c *Cluster) copyDirectCall(addr string, execute func(*fakeMachine) controller.WorkerResponse) {
	if c.CopiedDirectCalls == 0 || c.rng.Float64() >= c.CopiedDirectCalls {
		return
	}
	c.after(c.randomDelay(maxCopiedCallDelay), func() {
		machine := c.machinesByAddr[addr]
		if machine == nil || machine.terminated || c.SpareUnansweredWorkers && machine.token == 0 {
			return
		}
		machine.deliver(func() {
			c.Observed[directCallCopied]++
			launches := machine.launches
			execute(machine)
			c.Observed[launchedByCopy] += machine.launches - launches
		})
	})
}

// restartWorker ends the worker's process with all tasks. It is back at once and remembers nothing.
func (m *fakeMachine) restartWorker() {
	if m.terminated || !m.up {
		return
	}
	m.cluster.Observed[workerRestarted]++
	m.endTasks()
	m.tasks, m.images = map[taskKey]*fakeTask{}, map[string]bool{}
	m.hung, m.deferred = false, nil
	m.agentEpoch, m.sequence, m.token = 1, 0, wire.FencingToken(0)
	m.leaseRenewedAt = m.cluster.now
	m.heartbeatsSent++ // responses to earlier heartbeats are dropped
	m.heartbeatInFlight = false
	m.sendHeartbeat()
}
