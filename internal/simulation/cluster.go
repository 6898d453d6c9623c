// Package simulation provides fakes of the state store, the cloud, the workers and the
// users, written from the protocol. A Cluster runs them together with several controllers
// on one virtual clock, injects faults, and checks the rules of the protocol. StoreServer,
// CloudServer and LoopbackWorkers are fakes on the real clock, and a History checks the
// events that took place there. The package serves tests only.
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

// Cluster is a simulated deployment on a virtual clock. Its seed determines the course of
// a run: all random numbers come from one generator, in the order of the events.
type Cluster struct {
	// Settings are the settings with which the controllers are started.
	Settings config.Settings
	// Features replaces config.DefaultFeatures for some controllers, by their index.
	Features map[int]config.Features

	// The durations below are copied from Settings. A test that changes one of them has to
	// change the setting too.

	// Lease is the time for which a worker keeps its tasks without a response to a heartbeat.
	Lease             time.Duration
	HeartbeatInterval time.Duration
	// GangWaitTimeout is the time for which a task of a gang waits for the others to start.
	GangWaitTimeout time.Duration
	// GangPeerTimeout bounds the time until the tasks of a gang notice that one has failed.
	GangPeerTimeout time.Duration
	// CancelTimeout is the longest time that a task may run after its job was reported
	// cancelled.
	CancelTimeout time.Duration

	// Capacity is the number of machines that the cloud has of each type, zone and price
	// model.
	Capacity int

	Faults

	// Observed counts what took place, for a test to show that it did.
	Observed map[Observation]int
	// Shutdowns are the processes that shut down by themselves.
	Shutdowns []ShutdownEvent
	// Violations lists the breaches of the rules, each with its time.
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
	// machinesByAddr holds the last machine that got each address.
	machinesByAddr map[string]*fakeMachine
	machineTypes   []wire.MachineType
	// provisionedByRequest holds the machines of each provisioning request by the name of
	// the request. A repeated request returns the same machines.
	provisionedByRequest map[string][]wire.MachineID
	// machineListings holds the latest machine lists of the cloud, one for each second.
	machineListings    [][]wire.CloudMachine
	jobs               map[wire.JobID]*submittedJob
	recordedHeartbeats []*wire.Heartbeat
	log                *slog.Logger
}

const (
	// defaultCapacity is the Capacity of a new cluster.
	defaultCapacity = 3
	// checkInterval is the time between two checks of the active tasks and the quotas.
	checkInterval = 100 * time.Millisecond
	// listingInterval is the time between two machine lists of the cloud.
	listingInterval = time.Second
	// maxListings is the number of machine lists that are kept.
	maxListings = 15
	// rngStream distinguishes the generator of a cluster from others with the same seed.
	rngStream = 7
)

// NewCluster returns a cluster with the given number of controllers, none of them started.
func NewCluster(settings config.Settings, types []wire.MachineType, controllers int, seed uint64) *Cluster {
	workers := settings.Cluster.Workers
	c := &Cluster{
		Settings:             settings,
		Features:             map[int]config.Features{},
		Lease:                config.Seconds(workers.LeaseS),
		HeartbeatInterval:    config.Seconds(workers.ReportS),
		GangWaitTimeout:      config.Seconds(workers.GangWaitS),
		GangPeerTimeout:      config.Seconds(workers.GangPeerS),
		CancelTimeout:        config.Seconds(workers.CancelS),
		Capacity:             defaultCapacity,
		Faults:               newFaults(),
		Observed:             map[Observation]int{},
		rng:                  rand.New(rand.NewPCG(seed, rngStream)),
		store:                NewStore(),
		machinesByID:         map[wire.MachineID]*fakeMachine{},
		machinesByAddr:       map[string]*fakeMachine{},
		machineTypes:         types,
		provisionedByRequest: map[string][]wire.MachineID{},
		jobs:                 map[wire.JobID]*submittedJob{},
		log:                  slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	c.store.OnChange = c.notifyWatches
	for i := range controllers {
		c.controllers = append(c.controllers, &controllerProcess{index: i})
	}
	c.runEvery(checkInterval, func() {
		if !c.StoreUnavailable {
			c.store.Expire(c.now)
		}
		c.checkTasksAndQuotas()
	})
	c.runEvery(listingInterval, func() {
		c.checkStarvation()
		c.recordListing()
	})
	return c
}

// SetLogger sets the logger of the controllers that are started from now on.
func (c *Cluster) SetLogger(log *slog.Logger) { c.log = log }

// Now returns the time on the cluster's clock.
func (c *Cluster) Now() time.Duration { return time.Duration(c.now) }

// At schedules f to run after d.
func (c *Cluster) At(d time.Duration, f func()) { c.after(d, f) }

// Run advances the clock by d and runs the events that fall due.
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

// runEvery schedules f to run at the current time and then at intervals of d.
func (c *Cluster) runEvery(d time.Duration, f func()) {
	var loop func()
	loop = func() {
		f()
		c.after(d, loop)
	}
	c.after(0, loop)
}

// reportViolation adds a breach of a rule to Violations, with the current time.
func (c *Cluster) reportViolation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%v: ", c.Now())+fmt.Sprintf(format, args...))
}

// randomDelay returns a random time below limit, in whole milliseconds.
func (c *Cluster) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(c.rng.IntN(int(limit.Milliseconds()))) * time.Millisecond
}
