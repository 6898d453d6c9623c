package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// gapSettings leaves between a lease and cancel_s as little as the users' own
// deployments do.
func gapSettings() config.Settings {
	set := settings()
	set.Cluster.Workers = config.Workers{ReportS: 10, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65}
	for i := range set.Cluster.Teams {
		set.Cluster.Teams[i].CPUs, set.Cluster.Teams[i].CPUsMax = 100, 200
	}
	return set
}

// gap is a variant of the gap: the state service refuses the controller that the
// workers report to, another confirms withdrawals, and then the state service is
// away for all for longer than cancel_s.
type gap struct {
	name string
	// with happens as the refusal begins: refused is the controller that is refused.
	with func(w *World, refused int)
	// confirmed happens once withdrawals were confirmed, just before the outage.
	confirmed func(w *World, refused int)
	unheard   bool // no direct command reaches a worker
	young     bool // jobs are withdrawn while their tasks are being launched
}

var gaps = []gap{
	{name: "plain"},
	{name: "direct commands lost", unheard: true},
	{name: "launches under way", young: true},
	{name: "launches under way, direct commands lost", young: true, unheard: true},
	{name: "siblings do not hear it", unheard: true, with: func(w *World, refused int) { w.CutPeers[refused] = true }},
	{name: "lines lost", unheard: true, with: func(w *World, refused int) { w.PeerLoss = 0.7 }},
	{name: "confirming controllers end", unheard: true, confirmed: func(w *World, refused int) {
		for i := range w.nodes {
			if i != refused {
				w.Stop(i)
				w.At(2*time.Second, func() { w.Start(i) })
			}
		}
	}},
	{name: "confirming controllers end, siblings do not hear it", young: true, with: func(w *World, refused int) { w.CutPeers[refused] = true },
		confirmed: func(w *World, refused int) {
			for i := range w.nodes {
				if i != refused {
					w.Stop(i)
					w.At(300*time.Millisecond, func() { w.Start(i) })
				}
			}
		}},
	{name: "machines hang", confirmed: func(w *World, _ int) { w.trouble(func(m *machine) { m.hung = true }) }},
	{name: "machines hang on", with: func(w *World, _ int) { w.trouble(func(m *machine) { m.hung = true; w.At(40*time.Second, m.resume) }) }},
	{name: "machines deaf", with: func(w *World, _ int) { w.trouble(func(m *machine) { m.inboundCut = true }) }},
	{name: "machines mute", with: func(w *World, _ int) { w.trouble(func(m *machine) { m.outboundCut = true }) }},
	{name: "machines mute, direct commands lost", unheard: true, with: func(w *World, _ int) { w.trouble(func(m *machine) { m.outboundCut = true }) }},
	{name: "cloud away", unheard: true, confirmed: func(w *World, _ int) { w.CloudDown = true }},
	{name: "cloud away, machines hang on", confirmed: func(w *World, _ int) {
		w.CloudDown = true
		w.trouble(func(m *machine) { m.hung = true; w.At(40*time.Second, m.resume) })
		w.At(9*time.Second, func() { w.CloudDown = false })
	}},
	{name: "refused stands still", unheard: true, confirmed: func(w *World, refused int) { w.Freeze(refused, 50*time.Second) }},
	{name: "late copies", unheard: true, with: func(w *World, _ int) { w.LateReports = 0.3 }},
}

// trouble has something happen to every other machine with tasks.
func (w *World) trouble(f func(*machine)) {
	n := 0
	for _, m := range w.machines {
		if len(m.tasks) > 0 && !m.dead {
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
	for _, g := range gaps {
		t.Run(g.name, func(t *testing.T) {
			confirmed := 0
			for seed := range uint64(4) {
				confirmed += g.play(t, seed, true)
			}
			require.Greater(t, confirmed, 8, "withdrawals that others confirmed in the gap")
		})
	}
}

func (g gap) play(t *testing.T, seed uint64, withOutage bool) int {
	w := worldOf(gapSettings(), seed, 3)
	refused := int(seed) % 3
	for i := range 9 {
		w.AddMachine(types[0], zones[i%3], false, 0)
	}
	w.At(6*time.Second, func() {
		for _, m := range w.machines {
			m.node = refused
		}
	})
	for n := range 24 {
		spec, _ := job(n, 0)
		spec.Tasks, spec.RuntimeS = 2, 200
		at := 2 * time.Second
		if g.young {
			at = 17*time.Second + time.Duration(n)*100*time.Millisecond
		}
		w.At(at, func() { w.Submit(spec, 200*time.Second) })
	}
	w.Run(20 * time.Second)
	w.CutState[refused], w.NoDirect = true, g.unheard
	if g.with != nil {
		g.with(w, refused)
	}
	for n := range 24 {
		if n%4 != 3 {
			w.At(time.Duration(100+n*60)*time.Millisecond, func() { w.CancelJob(w.jobID(n)) })
		}
	}
	w.Run(1900 * time.Millisecond)
	confirmed := w.withdrawnBetween(20*time.Second, w.Now())
	if g.confirmed != nil {
		g.confirmed(w, refused)
	}
	w.StateDown = withOutage
	w.At(12*time.Second, func() { delete(w.CutState, refused) })
	w.Run(w.Cancel + 12*time.Second) // longer than cancel_s
	w.StateDown, w.NoDirect, w.CloudDown, w.CutPeers, w.PeerLoss, w.LateReports = false, false, false, map[int]bool{}, 0, 0
	w.store.RenewAll(w.now)
	for _, m := range w.machines {
		m.inboundCut, m.outboundCut = false, false
		if m.hung {
			m.resume()
		}
	}
	w.Run(20 * time.Second)
	w.CalmAt = w.Now()
	w.Run(260 * time.Second)
	require.Empty(t, w.Broken, "seed %d", seed)
	require.Empty(t, w.Unfinished(), "seed %d", seed)
	return confirmed
}

func (w *World) jobID(n int) wire.JobID { spec, _ := job(n, 0); return spec.ID }

// withdrawnBetween counts the jobs whose users were told in that time that they are
// withdrawn.
func (w *World) withdrawnBetween(from, to time.Duration) int {
	n := 0
	for _, j := range w.jobs {
		if j.told == wire.StatusCancelled && j.toldAt >= controller.Time(from) && j.toldAt <= controller.Time(to) {
			n++
		}
	}
	return n
}

// TestOutageKeepsLeases guards what an outage shared by all costs: where the
// siblings attest for one another, nothing that runs is lost by it, however long.
func TestOutageKeepsLeases(t *testing.T) {
	w := worldOf(gapSettings(), 1, 3)
	for i := range 9 {
		w.AddMachine(types[0], zones[i%3], false, 0)
	}
	spec, _ := job(1, 1)
	spec.Tasks = 8
	w.At(2*time.Second, func() { w.Submit(spec, 0) })
	w.Run(20 * time.Second)
	w.StateDown = true
	w.Run(100 * time.Second)
	w.StateDown = false
	w.store.RenewAll(w.now)
	w.Run(10 * time.Second)
	w.onMachines(func(m *machine, _ *task) { require.EqualValues(t, 1, m.session, "%s lost its lease", m.id) })
	require.Equal(t, 8, w.jobs[spec.ID].launched, "replicas were started anew")
	require.Empty(t, w.Broken)
}

// TestLateLaunch guards against a launch that is held up on its way for longer than
// cancel_s, while nobody can raise a fence: its job was withdrawn before the worker had
// it, and in the outage that follows the worker's lease must not be renewed for so long
// that the launch still finds its session.
func TestLateLaunch(t *testing.T) {
	late := 0
	for seed := range uint64(6) {
		w := worldOf(gapSettings(), seed, 3)
		for i := range 9 {
			w.AddMachine(types[0], zones[i%3], false, 0)
		}
		w.Run(20 * time.Second)
		w.NoDirect = true // what is sent directly now is held up
		for n := range 12 {
			spec, _ := job(n, 0)
			spec.Tasks = 1
			w.At(0, func() { w.Submit(spec, 200*time.Second) })
			w.At(1500*time.Millisecond, func() { w.CancelJob(spec.ID) })
		}
		// The launches as they were sent: under the token of then, for the session of then.
		type launch struct {
			m    *machine
			body wire.CommandRequest
		}
		var held []launch
		w.At(1400*time.Millisecond, func() {
			for _, e := range w.store.List("l/p/") {
				for _, g := range pageOf(e.Value).Groups {
					for _, id := range g.Machines {
						m := w.byID[id]
						held = append(held, launch{m, wire.CommandRequest{Token: m.token, AgentEpoch: m.session,
							Commands: []wire.Command{{Verb: wire.VerbLaunch, Task: wire.TaskID{Job: g.Job}, Attempt: g.Attempt}}}})
					}
				}
			}
		})
		w.Run(1530 * time.Millisecond) // withdrawn, and no fence raised yet
		w.StateDown, w.NoDirect = true, false
		w.At(w.Cancel+5*time.Second, func() {
			for _, l := range held {
				job := l.body.Commands[0].Task.Job
				if w.jobs[job].told == wire.StatusCancelled && w.jobs[job].launched == 0 {
					late++
					l.m.act(func() { l.m.do(l.body) })
				}
			}
		})
		w.Run(w.Cancel + 10*time.Second)
		require.Empty(t, w.Broken, "seed %d", seed)
	}
	require.Greater(t, late, 10, "launches that came late")
}
