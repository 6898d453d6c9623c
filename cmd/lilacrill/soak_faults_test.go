package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilacrill/internal/record"
	"lilacrill/internal/simulation"
	"lilacrill/wire"
)

// soakFaultKind is a kind of fault that a soak injects.
type soakFaultKind int

// The kinds of faults. Each but the last four concerns one controller.
const (
	faultKill soakFaultKind = iota
	faultPause
	faultCutFromWorkers
	faultWorkersNotAnswered // only the answers to workers are held
	faultCutFromStore
	faultStoreNotAnswering // only the answers of the store are held
	faultCutFromPeers
	faultCutFromUsers
	faultCutFromStoreAndPeers
	faultDelayedTransactions
	faultLostStoreAnswers
	faultSlowLinks
	faultKillLeaders // the leader for scaling, several times in a row
	faultRestartOneByOne
	faultKillAll
	faultStoreOutage
	faultStoreSlow
	faultStoreCompacted
	faultZonePartitioned
	faultWorkersMute
	faultWorkersDeaf
	soakFaultKinds // the number of kinds
)

// String returns the name of the kind in the printed schedule.
func (k soakFaultKind) String() string {
	return [soakFaultKinds]string{"kill", "pause", "cut from workers", "workers not answered", "cut from store", "store not answering",
		"cut from peers", "cut from users", "cut from store and peers", "delayed transactions", "lost store answers", "slow links",
		"kill leaders", "restart one by one", "kill all", "store outage", "store slow", "store compacted", "zone partitioned",
		"workers mute", "workers deaf"}[k]
}

// soakFault is one fault of a schedule.
type soakFault struct {
	kind   soakFaultKind
	at     time.Duration // since the start of the schedule
	last   time.Duration
	target int // index of a controller, or of a zone
	share  float64
}

// String describes the fault.
func (f soakFault) String() string {
	return fmt.Sprintf("%5.1fs %s, for %.1fs, target %d, share %.2f", f.at.Seconds(), f.kind, f.last.Seconds(), f.target, f.share)
}

const (
	minSoakFault = 200 * time.Millisecond
	// maxShortFault and maxLongFault bound the duration of faults. Three out of four are short.
	maxShortFault = 6 * time.Second
	maxLongFault  = 20 * time.Second
	// leaderKillPause bounds the time between two kills of leaders in a row.
	leaderKillPause = 3 * time.Second
	// longRestartPause is the time between restarts one by one in which workers find another
	// controller.
	longRestartPause = 4 * time.Second
)

// newSoakSchedule returns faults that all begin and end within the given time, in the order in which
// they begin. Two or three overlap at most times.
func newSoakSchedule(seed uint64, controllers, zones int, within time.Duration) []soakFault {
	random := rand.New(rand.NewPCG(seed, soakStream))
	var schedule []soakFault
	for range 2 + random.IntN(2) { // sequences that run side by side
		for at := time.Duration(0); ; {
			at += time.Duration(random.Int64N(int64(2 * time.Second)))
			longest := maxShortFault
			if random.IntN(4) == 0 {
				longest = maxLongFault
			}
			fault := soakFault{kind: soakFaultKind(random.IntN(int(soakFaultKinds))), at: at,
				last:   minSoakFault + time.Duration(random.Int64N(int64(longest-minSoakFault))),
				target: random.IntN(controllers), share: 0.05 + random.Float64()/2}
			if fault.kind == faultZonePartitioned {
				fault.target = random.IntN(zones)
			}
			fault.last = min(fault.last, within-at)
			if fault.last < minSoakFault {
				break
			}
			at += fault.last
			schedule = append(schedule, fault)
		}
	}
	slices.SortStableFunc(schedule, func(a, b soakFault) int { return int(a.at - b.at) })
	return schedule
}

// soakStream selects a random sequence that differs from others with the same seed.
const soakStream = 11

// faultInjector injects the faults of a schedule into a cluster. Faults of several sequences may
// concern the same link or controller at once; a link then has all their effects.
type faultInjector struct {
	*loadCluster
	random *rand.Rand // for the timing within a fault

	mu     sync.Mutex
	active map[int]soakFault
	next   int
	down   map[int]int // by controller, how many faults keep it down
}

// run injects all faults and returns once the last has ended.
func (f *faultInjector) run(schedule []soakFault) {
	start := time.Now()
	var running sync.WaitGroup
	for _, fault := range schedule {
		f.sleep(time.Until(start.Add(fault.at)))
		running.Go(func() { f.inject(fault) })
	}
	running.Wait()
}

// inject injects one fault and returns when it has ended.
func (f *faultInjector) inject(fault soakFault) {
	switch fault.kind {
	case faultKill:
		f.holdDown(fault.target, fault.last)
	case faultPause:
		f.pause(fault.target, fault.last)
	case faultKillLeaders:
		for end := time.Now().Add(fault.last); time.Now().Before(end); {
			f.holdDown(f.leader(fault.target), minSoakFault)
			f.sleep(f.randomUpTo(leaderKillPause))
		}
	case faultRestartOneByOne:
		for i := range f.size.controllers {
			f.holdDown(i, minSoakFault)
			f.sleep(f.randomUpTo(longRestartPause))
		}
	case faultKillAll:
		var down sync.WaitGroup
		for i := range f.size.controllers {
			down.Go(func() { f.holdDown(i, fault.last) })
		}
		down.Wait()
	case faultStoreCompacted:
		f.state.Compact()
	default:
		id := f.begin(fault)
		f.sleep(fault.last)
		f.end(id)
	}
}

func (f *faultInjector) randomUpTo(limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(limit)))
}

// holdDown kills a controller and restarts it after d, unless another fault still keeps it down.
func (f *faultInjector) holdDown(i int, d time.Duration) {
	f.mu.Lock()
	if f.down[i]++; f.down[i] == 1 {
		f.kill(i)
	}
	f.mu.Unlock()
	f.sleep(d)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down[i]--; f.down[i] == 0 && f.ctx.Err() == nil {
		f.start(i)
	}
}

// pause stops the process of a controller for d. A controller that is killed meanwhile stays killed.
func (f *faultInjector) pause(i int, d time.Duration) {
	f.mu.Lock()
	process := f.processes[i]
	if process != nil {
		_ = process.Process.Signal(syscall.SIGSTOP) // fails if the process is killed now
	}
	f.mu.Unlock()
	f.sleep(d)
	if process != nil {
		_ = process.Process.Signal(syscall.SIGCONT)
	}
}

// leader returns the index of the controller that leads scaling, or otherwise if there is none.
func (f *faultInjector) leader(otherwise int) int {
	var leader wire.FencingToken
	for _, entry := range f.state.Entries(record.ProvisionerKey) {
		if json.Unmarshal(entry.Value, &leader) != nil {
			return otherwise
		}
	}
	for _, entry := range f.state.Entries(record.LivenessPrefix) {
		var liveness record.Liveness
		if json.Unmarshal(entry.Value, &liveness) == nil && liveness.Incarnation == leader {
			return slices.Index(f.labels(), strings.TrimPrefix(entry.Key, record.LivenessPrefix))
		}
	}
	return otherwise
}

func (f *faultInjector) begin(fault soakFault) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	f.active[f.next] = fault
	f.applyFaults()
	return f.next
}

func (f *faultInjector) end(id int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.active, id)
	f.applyFaults()
}

// applyFaults sets the faults of all links, workers and the store to what the active faults demand.
func (f *faultInjector) applyFaults() {
	links := map[*simulation.Link]simulation.LinkFault{}
	for _, endpoint := range f.network.all() {
		links[endpoint.link] = simulation.LinkFault{}
	}
	workers := map[int]simulation.WorkerFault{}
	unavailable := false
	for _, fault := range f.active {
		unavailable = unavailable || fault.kind == faultStoreOutage
		f.addLinkFaults(links, fault)
		f.addWorkerFaults(workers, fault)
	}
	f.state.Unavailable.Store(unavailable)
	for link, fault := range links {
		link.SetFault(fault)
	}
	f.workers.SetFaults(func(number int) simulation.WorkerFault { return workers[number] })
}

// addLinkFaults adds the effects of a fault to the faults of the links.
func (f *faultInjector) addLinkFaults(links map[*simulation.Link]simulation.LinkFault, fault soakFault) {
	add := func(change func(*simulation.LinkFault), endpoints ...endpoint) {
		for _, endpoint := range endpoints {
			changed := links[endpoint.link]
			change(&changed)
			links[endpoint.link] = changed
		}
	}
	cut := func(l *simulation.LinkFault) { l.HoldRequests, l.HoldResponses = true, true }
	unanswered := func(l *simulation.LinkFault) { l.HoldResponses = true }
	i, n := fault.target, f.network
	switch fault.kind {
	case faultCutFromWorkers:
		add(cut, n.forWorkers[i])
	case faultWorkersNotAnswered:
		add(unanswered, n.forWorkers[i])
	case faultCutFromStore:
		add(cut, n.toState[i])
	case faultStoreNotAnswering:
		add(unanswered, n.toState[i])
	case faultCutFromPeers:
		add(cut, n.peersOf(i)...)
	case faultCutFromUsers:
		add(cut, n.forUsers[i])
	case faultCutFromStoreAndPeers:
		add(cut, append(n.peersOf(i), n.toState[i])...)
	case faultDelayedTransactions:
		add(func(l *simulation.LinkFault) { l.LateRequests = fault.share / 2 }, n.toState[i])
	case faultLostStoreAnswers:
		add(func(l *simulation.LinkFault) { l.LostResponses = fault.share }, n.toState[i])
	case faultSlowLinks:
		add(func(l *simulation.LinkFault) { l.Delay += time.Duration(fault.share * float64(time.Second)) }, n.toState[i], n.forUsers[i], n.forWorkers[i])
	case faultStoreSlow:
		add(func(l *simulation.LinkFault) { l.Delay += time.Duration(fault.share * float64(time.Second)) }, n.toState...)
	}
}

// addWorkerFaults adds the effects of a fault to the faults of the workers, by their numbers.
func (f *faultInjector) addWorkerFaults(workers map[int]simulation.WorkerFault, fault soakFault) {
	var effect simulation.WorkerFault
	affected := func(number int) bool { return float64(number%97)/97 < fault.share }
	switch fault.kind {
	case faultZonePartitioned:
		effect = simulation.WorkerFault{HeartbeatsLost: true, CallsLost: true}
		affected = f.workers.InZone(f.size.zones[fault.target])
	case faultWorkersMute:
		effect = simulation.WorkerFault{HeartbeatsLost: true}
	case faultWorkersDeaf:
		effect = simulation.WorkerFault{AnswersLost: true, CallsLost: true}
	default:
		return
	}
	for number := range f.workers.Count() {
		if affected(number) {
			before := workers[number]
			workers[number] = simulation.WorkerFault{HeartbeatsLost: before.HeartbeatsLost || effect.HeartbeatsLost,
				AnswersLost: before.AnswersLost || effect.AnswersLost, CallsLost: before.CallsLost || effect.CallsLost}
		}
	}
}
