package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// onMachines yields every task that is on a machine.
func (w *World) onMachines(f func(*machine, *task)) {
	for _, m := range w.machines {
		if m.dead {
			continue
		}
		for _, t := range m.sorted() {
			if t.on {
				f(m, t)
			}
		}
	}
}

// started holds the start of a task against the rules.
func (w *World) started(m *machine, t *task, j *userJob) {
	s := &j.spec
	if j.began == 0 {
		j.began = w.now
	}
	if !j.submitted {
		w.breaks("invented: start of %v before its submission", t.id)
	}
	sameZone := 1
	for _, p := range j.on() {
		om, o := p.m, p.t
		if o == t {
			continue
		}
		if o.id == t.id && om != m {
			w.breaks("ran_twice: %v on %s and %s", t.id, om.id, m.id)
		}
		if s.SingleZone && om.zone != m.zone {
			w.breaks("wrong_place: %v in %s, another in %s", t.id, m.zone, om.zone)
		}
		if om.zone == m.zone {
			sameZone++
		}
	}
	if s.SpreadZones && sameZone > (s.Tasks+1)/2 {
		w.breaks("wrong_place: %d tasks of %s in %s", sameZone, s.ID, m.zone)
	}
	if s.Zone != "" && s.Zone != m.zone || m.spot && !s.Spot || len(s.Types) > 0 && !slices.Contains(s.Types, m.kind.Name) {
		w.breaks("wrong_place: %v on %s (%s, %s, spot %v)", t.id, m.id, m.kind.Name, m.zone, m.spot)
	}
	if j.told == wire.StatusCancelled {
		w.Seen["start after a withdrawal was told"]++
		if w.now.Sub(j.toldAt) > w.Cancel {
			w.breaks("ran_cancelled: start of %v", t.id)
		}
	}
}

// unanswered is how long users' questions about a job may go without an answer
// once all troubles are over.
const unanswered = 75 * time.Second

// Begun is how long after its submission a job's first task ran.
func (w *World) Begun(id wire.JobID) (time.Duration, bool) {
	j := w.jobs[id]
	return j.began.Sub(j.asked), j.began != 0
}

// check holds what is on the machines against the rules.
func (w *World) check() {
	type use struct{ cores, accel float64 }
	used := map[string]use{}
	w.onMachines(func(m *machine, t *task) {
		j := w.jobs[t.id.Job]
		u := used[j.spec.Team]
		used[j.spec.Team] = use{u.cores + j.spec.Cores, u.accel + j.spec.Accelerators}
		if j.told == wire.StatusCancelled && w.now.Sub(j.toldAt) > w.Cancel {
			w.breaks("ran_cancelled: %v on %s", t.id, m.id)
		}
	})
	for id, j := range w.jobs {
		if since := max(j.answered, controller.Time(w.CalmAt)); w.CalmAt > 0 && j.accepted && w.now.Sub(since) > unanswered {
			w.breaks("forgotten: no question about %s was answered for %v", id, w.now.Sub(since))
			j.answered = w.now
		}
	}
	for _, t := range w.Settings.Cluster.Teams {
		cpus, gpus := t.Limits()
		if u := used[t.Name]; u.cores > cpus+1e-6 || u.accel > gpus+1e-6 {
			w.breaks("quota: %s uses %v cores, %v accelerators", t.Name, u.cores, u.accel)
		}
	}
}

// neglect is how long a job may wait beside room that it could have, once all
// troubles are over.
const neglect = 90 * time.Second

// checkWaiting looks for jobs that wait beside a machine that fits them and has room,
// while their team is under its limit. Jobs whose tasks have to be placed together or
// apart are left out: whether they fit is not told by one machine.
func (w *World) checkWaiting() {
	if w.CalmAt == 0 {
		return
	}
	used, free := map[string][2]float64{}, map[*machine][3]float64{}
	for _, m := range w.machines {
		if !m.up || m.dead || m.hung || m.faulty || m.recall != 0 {
			continue
		}
		f := [3]float64{m.kind.Cores, m.kind.Accelerators, m.kind.MemGB}
		for _, t := range m.sorted() {
			s := &w.jobs[t.id.Job].spec
			if t.state != wire.TaskExited {
				f = [3]float64{f[0] - s.Cores, f[1] - s.Accelerators, f[2] - s.MemGB}
				u := used[s.Team]
				used[s.Team] = [2]float64{u[0] + s.Cores, u[1] + s.Accelerators}
			}
		}
		free[m] = f
	}
	for id, j := range w.jobs {
		s := &j.spec
		waits := j.accepted && !j.told.IsTerminal() && !j.cancelAsk && !j.mistaken && len(j.complete) < s.Tasks && len(j.on()) == 0 &&
			(s.Tasks == 1 || s.Shape == wire.ShapeArray && !s.SingleZone && !s.SpreadZones)
		beside := false
		if waits {
			for _, t := range w.Settings.Cluster.Teams {
				cpus, gpus := t.Limits()
				if u := used[t.Name]; t.Name == s.Team && u[0]+s.Cores <= cpus+1e-6 && u[1]+s.Accelerators <= gpus+1e-6 {
					for m, f := range free {
						beside = beside || f[0] >= s.Cores && f[1] >= s.Accelerators && f[2] >= s.MemGB && (s.Zone == "" || s.Zone == m.zone) &&
							(!m.spot || s.Spot) && (len(s.Types) == 0 || slices.Contains(s.Types, m.kind.Name))
					}
				}
			}
		}
		switch {
		case !beside:
			j.neglected = 0
		case j.neglected == 0:
			j.neglected = w.now
		case w.now.Sub(j.neglected) > neglect:
			w.breaks("neglected: %s waits beside room", id)
			j.neglected = 0
		}
	}
}

// gang finds a gang's tasks of one attempt that are on machines.
func (w *World) gang(j *userJob, a wire.Attempt) (ms []*machine, ts []*task) {
	for _, p := range j.on() {
		if p.t.attempt == a {
			ms, ts = append(ms, p.m), append(ts, p.t)
		}
	}
	return ms, ts
}

// gangReady starts a gang once all its tasks wait.
func (w *World) gangReady(j *userJob, a wire.Attempt) {
	ms, ts := w.gang(j, a)
	if len(ts) < j.spec.Tasks {
		return
	}
	for _, t := range ts {
		if t.state != wire.TaskWaiting {
			return
		}
	}
	for i, t := range ts {
		ms[i].run(t, j)
	}
}

func (w *World) gangDone(j *userJob, a wire.Attempt) {
	ms, ts := w.gang(j, a)
	if len(ts) < j.spec.Tasks || slices.ContainsFunc(ts, func(t *task) bool { return t.state != wire.TaskRunning }) {
		return
	}
	for i := range j.spec.Tasks {
		j.complete[i] = true
	}
	w.ended(j)
	for i, t := range ts {
		t.on = false
		t.state, t.cause = wire.TaskExited, wire.CauseDone
		if !ms[i].hung {
			ms[i].sendReport()
		}
	}
}

// gangLost has the rest of a gang notice that a task is gone.
func (w *World) gangLost(j *userJob, a wire.Attempt) {
	w.after(time.Duration(w.rng.Int64N(int64(w.GangPeer))), func() {
		ms, ts := w.gang(j, a)
		for i, t := range ts {
			if t.state == wire.TaskRunning {
				ms[i].act(func() {
					if t.state == wire.TaskRunning {
						t.on = false
						t.state, t.cause = wire.TaskExited, wire.CausePeerFailed
					}
				})
			}
		}
	})
}

// Has reports whether a rule of this name was broken.
func (w *World) Has(rule string) bool {
	return slices.ContainsFunc(w.Broken, func(s string) bool { return strings.Contains(s, rule) })
}

// buyer is the controller that buys machines, or -1.
func (w *World) buyer() int {
	boots := map[string]int{}
	for i := range w.nodes {
		if v, _, ok := w.store.Get(fmt.Sprintf("l/n/rig-%d", i)); ok {
			var n struct{ Boot json.Number }
			if json.Unmarshal(v, &n) == nil {
				boots[n.Boot.String()] = i
			}
		}
	}
	v, _, _ := w.store.Get("l/buyer")
	if i, ok := boots[string(v)]; ok {
		return i
	}
	return -1
}
