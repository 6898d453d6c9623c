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

// eachActiveTask yields every task that is on a machine.
func (w *Cluster) eachActiveTask(f func(*fakeMachine, *fakeTask)) {
	for _, m := range w.machines {
		if m.terminated {
			continue
		}
		for _, t := range m.sortedTasks() {
			if t.active {
				f(m, t)
			}
		}
	}
}

// checkStart holds the start of a task against the rules.
func (w *Cluster) checkStart(m *fakeMachine, t *fakeTask, j *submittedJob) {
	s := &j.spec
	if j.startedAt == 0 {
		j.startedAt = w.now
	}
	if !j.submitted {
		w.violation("invented: start of %v before its submission", t.id)
	}
	sameZone := 1
	for _, p := range j.active() {
		om, o := p.machine, p.task
		if o == t {
			continue
		}
		if o.id == t.id && om != m {
			w.violation("ran_twice: %v on %s and %s", t.id, om.id, m.id)
		}
		if s.SingleZone && om.zone != m.zone {
			w.violation("wrong_place: %v in %s, another in %s", t.id, m.zone, om.zone)
		}
		if om.zone == m.zone {
			sameZone++
		}
	}
	if s.SpreadZones && sameZone > (s.Tasks+1)/2 {
		w.violation("wrong_place: %d tasks of %s in %s", sameZone, s.ID, m.zone)
	}
	if s.Zone != "" && s.Zone != m.zone || m.spot && !s.Spot || len(s.Types) > 0 && !slices.Contains(s.Types, m.machineType.Name) {
		w.violation("wrong_place: %v on %s (%s, %s, spot %v)", t.id, m.id, m.machineType.Name, m.zone, m.spot)
	}
	if j.lastStatus == wire.StatusCancelled {
		w.Observed["start after a withdrawal was told"]++
		if w.now.Sub(j.terminalAt) > w.CancelTimeout {
			w.violation("ran_cancelled: start of %v", t.id)
		}
	}
}

// maxUnanswered is how long users' questions about a job may go without an answer
// once all troubles are over.
const maxUnanswered = 75 * time.Second

// StartDelay is how long after its submission a job's first task ran.
func (w *Cluster) StartDelay(id wire.JobID) (time.Duration, bool) {
	j := w.jobs[id]
	return j.startedAt.Sub(j.submittedAt), j.startedAt != 0
}

// checkTasksAndQuotas holds what is on the machines against the rules.
func (w *Cluster) checkTasksAndQuotas() {
	type use struct{ cores, accel float64 }
	used := map[string]use{}
	w.eachActiveTask(func(m *fakeMachine, t *fakeTask) {
		j := w.jobs[t.id.Job]
		u := used[j.spec.Team]
		used[j.spec.Team] = use{u.cores + j.spec.Cores, u.accel + j.spec.Accelerators}
		if j.lastStatus == wire.StatusCancelled && w.now.Sub(j.terminalAt) > w.CancelTimeout {
			w.violation("ran_cancelled: %v on %s", t.id, m.id)
		}
	})
	for id, j := range w.jobs {
		if since := max(j.answeredAt, controller.Time(w.FaultsOverAt)); w.FaultsOverAt > 0 && j.accepted && w.now.Sub(since) > maxUnanswered {
			w.violation("forgotten: no question about %s was answered for %v", id, w.now.Sub(since))
			j.answeredAt = w.now
		}
	}
	for _, t := range w.Settings.Cluster.Teams {
		cpus, gpus := t.Limits()
		if u := used[t.Name]; u.cores > cpus+1e-6 || u.accel > gpus+1e-6 {
			w.violation("quota: %s uses %v cores, %v accelerators", t.Name, u.cores, u.accel)
		}
	}
}

// maxNeglect is how long a job may wait beside room that it could have, once all
// troubles are over.
const maxNeglect = 90 * time.Second

// checkNeglect looks for jobs that wait beside a machine that fits them and has room,
// while their team is under its limit. Jobs whose tasks have to be placed together or
// apart are left out: whether they fit is not told by one machine.
func (w *Cluster) checkNeglect() {
	if w.FaultsOverAt == 0 {
		return
	}
	used, free := map[string][2]float64{}, map[*fakeMachine][3]float64{}
	for _, m := range w.machines {
		if !m.up || m.terminated || m.hung || m.faulty || m.preemptionAt != 0 {
			continue
		}
		f := [3]float64{m.machineType.Cores, m.machineType.Accelerators, m.machineType.MemGB}
		for _, t := range m.sortedTasks() {
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
		waits := j.accepted && !j.lastStatus.IsTerminal() && !j.cancelRequested && !j.alwaysFails && len(j.completed) < s.Tasks && len(j.active()) == 0 &&
			(s.Tasks == 1 || s.Shape == wire.ShapeArray && !s.SingleZone && !s.SpreadZones)
		beside := false
		if waits {
			for _, t := range w.Settings.Cluster.Teams {
				cpus, gpus := t.Limits()
				if u := used[t.Name]; t.Name == s.Team && u[0]+s.Cores <= cpus+1e-6 && u[1]+s.Accelerators <= gpus+1e-6 {
					for m, f := range free {
						beside = beside || f[0] >= s.Cores && f[1] >= s.Accelerators && f[2] >= s.MemGB && (s.Zone == "" || s.Zone == m.zone) &&
							(!m.spot || s.Spot) && (len(s.Types) == 0 || slices.Contains(s.Types, m.machineType.Name))
					}
				}
			}
		}
		switch {
		case !beside:
			j.neglectedSince = 0
		case j.neglectedSince == 0:
			j.neglectedSince = w.now
		case w.now.Sub(j.neglectedSince) > maxNeglect:
			w.violation("neglected: %s waits beside room", id)
			j.neglectedSince = 0
		}
	}
}

// gangTasks finds a gang's tasks of one attempt that are on machines.
func (w *Cluster) gangTasks(j *submittedJob, a wire.Attempt) (ms []*fakeMachine, ts []*fakeTask) {
	for _, p := range j.active() {
		if p.task.attempt == a {
			ms, ts = append(ms, p.machine), append(ts, p.task)
		}
	}
	return ms, ts
}

// startGangIfReady starts a gang once all its tasks wait.
func (w *Cluster) startGangIfReady(j *submittedJob, a wire.Attempt) {
	ms, ts := w.gangTasks(j, a)
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

func (w *Cluster) completeGang(j *submittedJob, a wire.Attempt) {
	ms, ts := w.gangTasks(j, a)
	if len(ts) < j.spec.Tasks || slices.ContainsFunc(ts, func(t *fakeTask) bool { return t.state != wire.TaskRunning }) {
		return
	}
	for i := range j.spec.Tasks {
		j.completed[i] = true
	}
	w.jobCompleted(j)
	for i, t := range ts {
		t.active = false
		t.state, t.cause = wire.TaskExited, wire.CauseDone
		if !ms[i].hung {
			ms[i].sendHeartbeat()
		}
	}
}

// failGang has the rest of a gang notice that a task is gone.
func (w *Cluster) failGang(j *submittedJob, a wire.Attempt) {
	w.after(time.Duration(w.rng.Int64N(int64(w.GangPeerTimeout))), func() {
		ms, ts := w.gangTasks(j, a)
		for i, t := range ts {
			if t.state == wire.TaskRunning {
				ms[i].deliver(func() {
					if t.state == wire.TaskRunning {
						t.active = false
						t.state, t.cause = wire.TaskExited, wire.CausePeerFailed
					}
				})
			}
		}
	})
}

// HasViolation reports whether a rule of this name was broken.
func (w *Cluster) HasViolation(rule string) bool {
	return slices.ContainsFunc(w.Violations, func(s string) bool { return strings.Contains(s, rule) })
}

// provisioner is the controller that buys machines, or -1.
func (w *Cluster) provisioner() int {
	boots := map[string]int{}
	for i := range w.controllers {
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
