package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// shortCancelSettings leaves between a lease and cancel_s as little as the users' own
// deployments do.
func shortCancelSettings() config.Settings {
	set := testSettings()
	set.Cluster.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
	for i := range set.Cluster.Teams {
		set.Cluster.Teams[i].CPUs, set.Cluster.Teams[i].CPUsMax = 100, 200
	}
	return set
}

// partitionThenOutage is a variant of the gap: the state service refuses the controller that the
// workers report to, another confirms withdrawals, and then the state service is
// away for all for longer than cancel_s.
type partitionThenOutage struct {
	name string
	// onPartition happens as the refusal begins: refused is the controller that is refused.
	onPartition func(w *Cluster, refused int)
	// onOutage happens once withdrawals were confirmed, just before the outage.
	onOutage             func(w *Cluster, refused int)
	dropDirectCalls      bool // no direct command reaches a worker
	cancelWhileLaunching bool // jobs are withdrawn while their tasks are being launched
}

var partitionsThenOutages = []partitionThenOutage{
	{name: "plain"},
	{name: "direct commands lost", dropDirectCalls: true},
	{name: "launches under way", cancelWhileLaunching: true},
	{name: "launches under way, direct commands lost", cancelWhileLaunching: true, dropDirectCalls: true},
	{name: "siblings do not hear it", dropDirectCalls: true, onPartition: func(w *Cluster, refused int) { w.PeersPartitioned[refused] = true }},
	{name: "lines lost", dropDirectCalls: true, onPartition: func(w *Cluster, refused int) { w.PeerMessageLoss = 0.7 }},
	{name: "confirming controllers end", dropDirectCalls: true, onOutage: func(w *Cluster, refused int) {
		for i := range w.controllers {
			if i != refused {
				w.Stop(i)
				w.At(2*time.Second, func() { w.Start(i) })
			}
		}
	}},
	{name: "confirming controllers end, siblings do not hear it", cancelWhileLaunching: true, onPartition: func(w *Cluster, refused int) { w.PeersPartitioned[refused] = true },
		onOutage: func(w *Cluster, refused int) {
			for i := range w.controllers {
				if i != refused {
					w.Stop(i)
					w.At(300*time.Millisecond, func() { w.Start(i) })
				}
			}
		}},
	{name: "machines hang", onOutage: func(w *Cluster, _ int) { w.everyOtherBusyMachine(func(m *fakeMachine) { m.hung = true }) }},
	{name: "machines hang on", onPartition: func(w *Cluster, _ int) {
		w.everyOtherBusyMachine(func(m *fakeMachine) { m.hung = true; w.At(40*time.Second, m.resume) })
	}},
	{name: "machines deaf", onPartition: func(w *Cluster, _ int) { w.everyOtherBusyMachine(func(m *fakeMachine) { m.inboundPartitioned = true }) }},
	{name: "machines mute", onPartition: func(w *Cluster, _ int) {
		w.everyOtherBusyMachine(func(m *fakeMachine) { m.outboundPartitioned = true })
	}},
	{name: "machines mute, direct commands lost", dropDirectCalls: true, onPartition: func(w *Cluster, _ int) {
		w.everyOtherBusyMachine(func(m *fakeMachine) { m.outboundPartitioned = true })
	}},
	{name: "cloud away", dropDirectCalls: true, onOutage: func(w *Cluster, _ int) { w.CloudUnavailable = true }},
	{name: "cloud away, machines hang on", onOutage: func(w *Cluster, _ int) {
		w.CloudUnavailable = true
		w.everyOtherBusyMachine(func(m *fakeMachine) { m.hung = true; w.At(40*time.Second, m.resume) })
		w.At(9*time.Second, func() { w.CloudUnavailable = false })
	}},
	{name: "refused stands still", dropDirectCalls: true, onOutage: func(w *Cluster, refused int) { w.Stall(refused, 50*time.Second) }},
	{name: "late copies", dropDirectCalls: true, onPartition: func(w *Cluster, _ int) { w.DuplicatedHeartbeats = 0.3 }},
}

// everyOtherBusyMachine has something happen to every other machine with tasks.
func (w *Cluster) everyOtherBusyMachine(f func(*fakeMachine)) {
	n := 0
	for _, m := range w.machines {
		if len(m.tasks) > 0 && !m.terminated {
			if n++; n%2 == 0 {
				f(m)
			}
		}
	}
}

// TestGap guards the rule that a withdrawn task is gone in time against the meeting
// of a refusal and an outage: the refused controller went on answering workers, and
// kept alive what it did not know to be withdrawn.
func TestGap(t *testing.T) {
	for _, g := range partitionsThenOutages {
		t.Run(g.name, func(t *testing.T) {
			confirmed := 0
			for seed := range uint64(4) {
				confirmed += g.run(t, seed, true)
			}
			require.Greater(t, confirmed, 8, "withdrawals that others confirmed in the gap")
		})
	}
}

func (g partitionThenOutage) run(t *testing.T, seed uint64, withOutage bool) int {
	w := newClusterWith(shortCancelSettings(), seed, 3)
	refused := int(seed) % 3
	for i := range 9 {
		w.AddMachine(machineTypes[0], zones[i%3], false, 0)
	}
	w.At(6*time.Second, func() {
		for _, m := range w.machines {
			m.controller = refused
		}
	})
	for n := range 24 {
		spec, _ := testJob(n, 0)
		spec.Tasks, spec.RuntimeS = 2, 200
		at := 2 * time.Second
		if g.cancelWhileLaunching {
			at = 17*time.Second + time.Duration(n)*100*time.Millisecond
		}
		w.At(at, func() { w.Submit(spec, 200*time.Second) })
	}
	w.Run(20 * time.Second)
	w.StorePartitioned[refused], w.DropDirectCalls = true, g.dropDirectCalls
	if g.onPartition != nil {
		g.onPartition(w, refused)
	}
	for n := range 24 {
		if n%4 != 3 {
			w.At(time.Duration(100+n*60)*time.Millisecond, func() { w.CancelJob(w.jobID(n)) })
		}
	}
	w.Run(1900 * time.Millisecond)
	confirmed := w.cancelledBetween(20*time.Second, w.Now())
	if g.onOutage != nil {
		g.onOutage(w, refused)
	}
	w.StoreUnavailable = withOutage
	w.At(12*time.Second, func() { delete(w.StorePartitioned, refused) })
	w.Run(w.CancelTimeout + 12*time.Second) // longer than cancel_s
	w.StoreUnavailable, w.DropDirectCalls, w.CloudUnavailable, w.PeersPartitioned, w.PeerMessageLoss, w.DuplicatedHeartbeats = false, false, false, map[int]bool{}, 0, 0
	w.store.RenewAll(w.now)
	for _, m := range w.machines {
		m.inboundPartitioned, m.outboundPartitioned = false, false
		if m.hung {
			m.resume()
		}
	}
	w.Run(20 * time.Second)
	w.FaultsOverAt = w.Now()
	w.Run(260 * time.Second)
	require.Empty(t, w.Violations, "seed %d", seed)
	require.Empty(t, w.Unfinished(), "seed %d", seed)
	return confirmed
}

func (w *Cluster) jobID(n int) wire.JobID { spec, _ := testJob(n, 0); return spec.ID }

// cancelledBetween counts the jobs whose users were told in that time that they are
// withdrawn.
func (w *Cluster) cancelledBetween(from, to time.Duration) int {
	n := 0
	for _, j := range w.jobs {
		if j.lastStatus == wire.StatusCancelled && j.terminalAt >= controller.Time(from) && j.terminalAt <= controller.Time(to) {
			n++
		}
	}
	return n
}

// TestOutageKeepsLeases guards what an outage shared by all costs: where the
// siblings attest for one another, nothing that runs is lost by it, however long.
func TestOutageKeepsLeases(t *testing.T) {
	w := newClusterWith(shortCancelSettings(), 1, 3)
	for i := range 9 {
		w.AddMachine(machineTypes[0], zones[i%3], false, 0)
	}
	spec, _ := testJob(1, 1)
	spec.Tasks = 8
	w.At(2*time.Second, func() { w.Submit(spec, 0) })
	w.Run(20 * time.Second)
	w.StoreUnavailable = true
	w.Run(100 * time.Second)
	w.StoreUnavailable = false
	w.store.RenewAll(w.now)
	w.Run(10 * time.Second)
	w.eachActiveTask(func(m *fakeMachine, _ *fakeTask) { require.EqualValues(t, 1, m.agentEpoch, "%s lost its lease", m.id) })
	require.Equal(t, 8, w.jobs[spec.ID].launches, "replicas were started anew")
	require.Empty(t, w.Violations)
}

// TestLateLaunch guards against a launch that is held up on its way for longer than
// cancel_s, while nobody can raise a fence: its job was withdrawn before the worker had
// it, and in the outage that follows the worker's lease must not be renewed for so long
// that the launch still finds its session.
func TestLateLaunch(t *testing.T) {
	late := 0
	for seed := range uint64(6) {
		w := newClusterWith(shortCancelSettings(), seed, 3)
		for i := range 9 {
			w.AddMachine(machineTypes[0], zones[i%3], false, 0)
		}
		w.Run(20 * time.Second)
		w.DropDirectCalls = true // what is sent directly now is held up
		for n := range 12 {
			spec, _ := testJob(n, 0)
			spec.Tasks = 1
			w.At(0, func() { w.Submit(spec, 200*time.Second) })
			w.At(1500*time.Millisecond, func() { w.CancelJob(spec.ID) })
		}
		// The launches as they were sent: under the token of then, for the session of then.
		type launch struct {
			m    *fakeMachine
			body wire.CommandRequest
		}
		var held []launch
		w.At(1400*time.Millisecond, func() {
			for _, e := range w.store.List("l/p/") {
				for _, g := range decodePage(e.Value).Groups {
					for _, id := range g.Machines {
						m := w.machinesByID[id]
						held = append(held, launch{m, wire.CommandRequest{Token: m.token, AgentEpoch: m.agentEpoch,
							Commands: []wire.Command{{Verb: wire.VerbLaunch, Task: wire.TaskID{Job: g.Job}, Attempt: g.Attempt}}}})
					}
				}
			}
		})
		w.Run(1530 * time.Millisecond) // withdrawn, and no fence raised yet
		w.StoreUnavailable, w.DropDirectCalls = true, false
		w.At(w.CancelTimeout+5*time.Second, func() {
			for _, l := range held {
				job := l.body.Commands[0].Task.Job
				if w.jobs[job].lastStatus == wire.StatusCancelled && w.jobs[job].launches == 0 {
					late++
					l.m.deliver(func() { l.m.handleCommands(l.body) })
				}
			}
		})
		w.Run(w.CancelTimeout + 10*time.Second)
		require.Empty(t, w.Violations, "seed %d", seed)
	}
	require.Greater(t, late, 10, "launches that came late")
}
