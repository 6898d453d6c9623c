package second

import (
	"fmt"
	"time"

	"lilacrill/wire"
)

// waitingLimit is how long a job may wait beside room once all troubles are over.
const waitingLimit = 90 * time.Second

// canStart reports whether one more task of a job would fit on some machine that is up.
func (r *rig) canStart(j *job) (wire.MachineID, bool) {
	for _, m := range r.cloud.all() {
		if m.freeFor(j) {
			return m.id, true
		}
	}
	return "", false
}

// watchWaiting watches a job of one task from the time from on. It returns a violation once the job has
// waited for waitingLimit without a break while a machine that fits had room, and "" if its task runs
// until enough time has passed.
func (r *rig) watchWaiting(j *job, from time.Time) string {
	since, room := from, wire.MachineID("")
	r.log("watching %s", j.spec.ID)
	for end := from.Add(waitingLimit + 3*time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if len(r.startsOf(j.spec.ID)) > len(r.endsOf(j.spec.ID)) {
			r.log("%s runs, %.1f s after the watch began", j.spec.ID, time.Since(from).Seconds())
			return ""
		}
		id, fits := r.canStart(j)
		if !fits {
			since = time.Now()
			r.logSometimes("no room", "%s: no machine has room", j.spec.ID)
			continue
		}
		if room != id {
			r.log("%s waits, and %s has room for it", j.spec.ID, id)
			room = id
		}
		if waited := time.Since(since); waited > waitingLimit {
			status, answer := r.poll(j.spec.ID, 0)
			return fmt.Sprintf("%s has waited for %.0f s beside room on %s (answer %d %s)", j.spec.ID, waited.Seconds(), id, status, answer.Status)
		}
	}
	return ""
}
