// Command case2 takes a spot machine back before the cloud's list has shown it as running, and checks
// that the task that was on it runs again.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"lilacrill/review/standin"
)

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2

	bootTime    = 2 * time.Second
	runsBefore  = time.Second // how long the task has run when its machine is taken
	fillRuns    = 10 * time.Second
	victimRuns  = 15 * time.Second
	listLag     = 5 * time.Second
	laterFrom   = 11900 * time.Millisecond // since the rental: from then on the list lags by listLag
	waitLimit   = 90 * time.Second         // the bound of the rule
	caseLimit   = 117 * time.Second
	step        = 100 * time.Millisecond
	placeLimit  = 20 * time.Second
	victimCores = 2
)

const (
	victim = "wk-000100"
	task   = victim + "/0"
)

func main() { os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0")) }

func run(folder string, trouble bool) int {
	start := time.Now()
	w, err := standin.NewWorld(folder, standin.Parakh(), standin.ParakhKinds())
	if err != nil {
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	defer w.Close()
	if err := prepare(w); err != nil {
		w.Record.Say("could not run: %v", err)
		return exitNotRun
	}
	job := standin.Job{ID: victim, Class: "parcel-revalue", Team: "valuation-desk-00", Shape: "batch", Rank: "normal", Loads: 1, Cores: victimCores, MemGB: 6,
		Kit: "img-a", SizeGB: 0.1, Loaners: true, RuntimeS: victimRuns.Seconds(), Runs: victimRuns}
	rented := watchRentals(w)
	if err := w.Users.Submit(job); err != nil {
		w.Record.Say("could not run: %v", err)
		return exitNotRun
	}
	rig, ok := awaitTask(w, rented)
	if !ok {
		w.Record.Say("could not run: the task did not start on a rented spot machine")
		return exitNotRun
	}
	time.Sleep(runsBefore)
	if trouble {
		w.Cloud.Take(rig)
	}
	return judge(w, start)
}

// prepare starts the controllers and eight machines, and fills these: with a service that stays, one
// task on each machine, and with arrays that end soon.
func prepare(w *standin.World) error {
	kinds := []string{"chaukidar-4", "chaukidar-4", "chaukidar-4", "chaukidar-4", "chaukidar-4", "patwari-8", "patwari-8", "patwari-8"}
	yards := standin.Parakh().Yards
	for i, kind := range kinds {
		if _, err := w.Cloud.AddRunning(kind, yards[i%len(yards)], false); err != nil {
			return err
		}
	}
	if err := w.Start(); err != nil {
		return err
	}
	for end := time.Now().Add(placeLimit); w.Cloud.Joined() < len(kinds); time.Sleep(step) {
		if time.Now().After(end) {
			return errors.New("not all machines have joined")
		}
	}
	jobs := []standin.Job{
		{ID: "wk-000001", Class: "records-desk", Team: "valuation-desk-01", Shape: "daemon", Rank: "critical", Loads: 8, Cores: 1, MemGB: 3.4, Kit: "img-s", SizeGB: 0.1},
		{ID: "wk-000002", Class: "parcel-revalue", Team: "valuation-desk-02", Shape: "batch", Rank: "normal", Loads: 16, Cores: 1, MemGB: 1, Kit: "img-a", SizeGB: 0.1, RuntimeS: 10, Runs: fillRuns},
		{ID: "wk-000003", Class: "parcel-revalue", Team: "valuation-desk-03", Shape: "batch", Rank: "normal", Loads: 16, Cores: 1, MemGB: 1, Kit: "img-a", SizeGB: 0.1, RuntimeS: 10, Runs: fillRuns},
		{ID: "wk-000004", Class: "parcel-revalue", Team: "valuation-desk-04", Shape: "batch", Rank: "normal", Loads: 4, Cores: 1, MemGB: 1, Kit: "img-a", SizeGB: 0.1, RuntimeS: 10, Runs: fillRuns},
	}
	for _, job := range jobs {
		if err := w.Users.Submit(job); err != nil {
			return err
		}
	}
	for end := time.Now().Add(placeLimit); time.Now().Before(end); time.Sleep(step) {
		placed := 0
		for _, job := range jobs {
			for i := range job.Loads {
				placed += len(w.Board.OnMachines(fmt.Sprintf("%s/%d", job.ID, i)))
			}
		}
		if placed == 8+16+16+4 {
			return nil
		}
	}
	return fmt.Errorf("the machines were not full within %s", placeLimit)
}

// watchRentals makes the cloud rent spot machines that are up within two seconds, and its list lag by
// twice the usual time until a while after the first rental.
func watchRentals(w *standin.World) <-chan *standin.Rig {
	rented := make(chan *standin.Rig, 100)
	var since time.Time
	w.Cloud.Lock(func() {
		w.Cloud.Boot = func(*standin.Kind) time.Duration { return bootTime }
		w.Cloud.Capacity = func(_, _ string, loaners bool) int {
			if loaners {
				return 2
			}
			return 0
		}
		w.Cloud.Lag = func() time.Duration {
			if !since.IsZero() && time.Since(since) > laterFrom {
				return listLag
			}
			return 2 * listLag
		}
		w.Cloud.Hired = func(rig *standin.Rig) {
			if since.IsZero() {
				since = time.Now()
			}
			rented <- rig
		}
	})
	return rented
}

// awaitTask waits until the task is on a rented machine, and returns that.
func awaitTask(w *standin.World, rented <-chan *standin.Rig) (*standin.Rig, bool) {
	var rigs []*standin.Rig
	for end := time.Now().Add(placeLimit); time.Now().Before(end); {
		select {
		case rig := <-rented:
			rigs = append(rigs, rig)
		case <-time.After(step):
		}
		for _, rig := range rigs {
			for _, on := range w.Board.OnMachines(task) {
				if on == rig.ID {
					return rig, true
				}
			}
		}
	}
	return nil, false
}

// judge checks that the job does not wait for longer than the rule allows while a machine that fits has
// room.
func judge(w *standin.World, start time.Time) int {
	var since time.Time // when the job began to wait without a reason
	lastPoll := time.Now()
	for time.Since(start) < caseLimit {
		time.Sleep(step)
		if time.Since(lastPoll) > 5*time.Second {
			lastPoll = time.Now()
			if status := w.Users.Poll(victim); status.Status == "done" {
				w.Record.Say("held: the job is done")
				return exitHeld
			}
		}
		var room string
		for _, rig := range w.Cloud.Rigs() {
			if w.Cloud.FreeCores(rig) >= victimCores {
				room = rig.ID
			}
		}
		if len(w.Board.OnMachines(task)) > 0 || w.Board.Done(task) || room == "" {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
			w.Record.Say("the task is on no machine from now on, and %s has room", room)
		}
		if time.Since(since) > waitLimit {
			w.Record.Say("BROKEN: %s waits for %s while %s has room; no task of it is on any machine", victim, time.Since(since).Round(time.Second), room)
			return exitBroken
		}
	}
	w.Record.Say("could not run: neither done nor broken in time")
	return exitNotRun
}
