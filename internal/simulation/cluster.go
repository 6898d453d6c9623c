// Package simulation simulates what lilacrill runs among, written from its protocol: a
// state store, a cloud, workers and users. A Cluster has them and several controllers live
// on one virtual clock, injects faults, and checks the protocol's rules itself. StoreServer,
// CloudServer and LoopbackWorkers are fakes of the same on the real clock; History checks
// what happened there. The package serves tests only.
package simulation

import (
	"container/heap"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// Cluster is a simulated deployment on a virtual clock. One seed gives one course of
// events: all chance is drawn from one generator, in the order of the events.
type Cluster struct {
	// Settings are what the controllers are started with.
	Settings config.Settings
	// Features replace DefaultFeatures, by the number of the controller.
	Features map[int]config.Features

	// What follows is taken from the settings; a test that changes one changes the other.

	// Lease is how long a worker keeps its tasks without an answer to a heartbeat.
	Lease             time.Duration
	HeartbeatInterval time.Duration
	// GangWaitTimeout is how long a gang's task waits for the others to start.
	GangWaitTimeout time.Duration
	// GangPeerTimeout is within what time a gang's tasks notice that one has failed.
	GangPeerTimeout time.Duration
	// CancelTimeout is how long a task may run after its cancellation was reported.
	CancelTimeout time.Duration

	// Capacity is how many machines of one type, zone and price model the cloud has.
	Capacity int

	Faults

	// Observed counts what took place, for a test to show that it did.
	Observed map[Observation]int
	// Shutdowns are the processes that shut down by themselves.
	Shutdowns []ShutdownEvent
	// Violations are the breaches of the rules, with their times.
	Violations []string

	now          controller.Time
	events       eventQueue
	eventCount   int
	rng          *rand.Rand
	store        *Store
	openWatches  []*openWatch
	controllers  []*controllerProcess
	machines     []*fakeMachine
	machinesByID map[wire.MachineID]*fakeMachine
	machineTypes []wire.MachineType
	// provisioned are the results of the provisioning requests, by their names: a request
	// that is repeated gets the same machines.
	provisioned map[string][]wire.MachineID
	// machineListings are the cloud's latest machine lists, one for each second.
	machineListings    [][]wire.CloudMachine
	jobs               map[wire.JobID]*submittedJob
	recordedHeartbeats []*wire.Heartbeat
	log                *slog.Logger
}

const (
	// defaultCapacity is the Capacity of a new cluster.
	defaultCapacity = 3
	// checkInterval is the time between two checks of what runs on the machines.
	checkInterval = 100 * time.Millisecond
	// listingInterval is the time between two machine lists of the cloud.
	listingInterval = time.Second
	// maxListings is how many of them are kept.
	maxListings = 15
	// rngStream sets the generator of a cluster apart from others with its seed.
	rngStream = 7
)

// NewCluster makes a cluster of so many controllers, none of them started.
func NewCluster(settings config.Settings, types []wire.MachineType, controllers int, seed uint64) *Cluster {
	workers := settings.Cluster.Workers
	c := &Cluster{
		Settings:          settings,
		Features:          map[int]config.Features{},
		Lease:             config.Seconds(workers.LeaseS),
		HeartbeatInterval: config.Seconds(workers.ReportS),
		GangWaitTimeout:   config.Seconds(workers.GangWaitS),
		GangPeerTimeout:   config.Seconds(workers.GangPeerS),
		CancelTimeout:     config.Seconds(workers.CancelS),
		Capacity:          defaultCapacity,
		Faults:            newFaults(),
		Observed:          map[Observation]int{},
		rng:               rand.New(rand.NewPCG(seed, rngStream)),
		store:             NewStore(),
		machinesByID:      map[wire.MachineID]*fakeMachine{},
		machineTypes:      types,
		provisioned:       map[string][]wire.MachineID{},
		jobs:              map[wire.JobID]*submittedJob{},
		log:               slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	c.store.OnChange = c.notifyWatches
	for i := range controllers {
		c.controllers = append(c.controllers, &controllerProcess{index: i})
	}
	c.every(checkInterval, func() {
		if !c.StoreUnavailable {
			c.store.Expire(c.now)
		}
		c.checkTasksAndQuotas()
	})
	c.every(listingInterval, func() {
		c.checkStarvation()
		c.recordListing()
	})
	return c
}

// SetLogger sends the controllers' log somewhere.
func (c *Cluster) SetLogger(log *slog.Logger) { c.log = log }

// Now is the time on the cluster's clock.
func (c *Cluster) Now() time.Duration { return time.Duration(c.now) }

// At runs f when d has passed.
func (c *Cluster) At(d time.Duration, f func()) { c.after(d, f) }

// Run lets time pass.
func (c *Cluster) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}

func (c *Cluster) after(d time.Duration, run func()) {
	c.eventCount++
	heap.Push(&c.events, event{c.now.Add(max(d, 0)), c.eventCount, run})
}

// every runs f now and then again and again, d apart.
func (c *Cluster) every(d time.Duration, f func()) {
	var loop func()
	loop = func() {
		f()
		c.after(d, loop)
	}
	c.after(0, loop)
}

// reportViolation records a breach of a rule.
func (c *Cluster) reportViolation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%v: ", c.Now())+fmt.Sprintf(format, args...))
}

// randomDelay is a time below a limit, in whole milliseconds.
func (c *Cluster) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(c.rng.IntN(int(limit.Milliseconds()))) * time.Millisecond
}
