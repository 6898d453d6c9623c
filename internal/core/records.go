package core

import (
	"fmt"
	"strconv"
	"strings"

	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// Keys in the state service. Everything lives under one root, so that one feed
// carries all of it.
const (
	rootKey     = "l/"
	batonKey    = "l/baton"
	buyerKey    = "l/buyer"
	settingsKey = "l/settings"
	nodePrefix  = "l/n/" // + label: the controllers that are alive
	jobPrefix   = "l/j/" // + job: jobs that are not over
	finalPrefix = "l/f/" // + job: how jobs ended, for ever
	donePrefix  = "l/d/" // + job/page: the tasks that are done
	pagePrefix  = "l/p/" // + team/zone/page: placement records
	doomPrefix  = "l/m/" // + machine: machines about to be returned
	imagePrefix = "l/i/" // + machine: the images that it was seen to have
)

// loadPrefixes are read when a controller starts. Final states are not: they
// are kept for ever, and read when somebody asks.
var loadPrefixes = []string{"l/b", "l/d/", "l/i/", "l/j/", "l/m/", "l/n/", "l/p/", "l/s"}

func jobKey(id wire.JobID) string         { return jobPrefix + string(id) }
func finalKey(id wire.JobID) string       { return finalPrefix + string(id) }
func doneKey(id wire.JobID, n int) string { return donePrefix + string(id) + "/" + strconv.Itoa(n) }
func doomKey(m wire.MachineID) string     { return doomPrefix + string(m) }
func nodeKey(label string) string         { return nodePrefix + label }
func pageKey(team, zone string, n int) string {
	return pagePrefix + team + "/" + zone + "/" + strconv.Itoa(n)
}

// nodeRecord says that a controller is alive; it hangs on its lease.
type nodeRecord struct {
	Boot wire.Baton `json:"boot"`
	// Deaf says that it reaches no workers, so that it should steward no team.
	Deaf bool `json:"deaf,omitempty"`
}

// jobRecord is a job that is not over.
type jobRecord struct {
	Spec wire.JobSpec `json:"spec"`
	// At is when the job was accepted, in Unix milliseconds.
	At int64 `json:"at"`
	// By is the boot of the controller that accepted it and places it first.
	By wire.Baton `json:"by"`
}

// finalRecord is how a job ended.
type finalRecord struct {
	Status wire.Status `json:"status"`
	Done   int         `json:"done"`
}

// doomRecord says that a machine is about to be returned, and why.
type doomRecord struct {
	Why  string `json:"why"`
	Over bool   `json:"over,omitempty"` // it was spared after all
}

// Halt says whether and how an entry's tasks are to be stopped.
type Halt int

// The ways to stop.
const (
	HaltNo   Halt = iota
	HaltSave      // with time to save
	HaltAtOnce
)

// Entry is a number of tasks of one job placed on one machine in one round.
type Entry struct {
	Job     wire.JobID     `json:"j"`
	Attempt wire.Attempt   `json:"a"`
	Machine wire.MachineID `json:"m"`
	// Shift is the machine's session the launch is meant for: a worker obeys no
	// command of another session.
	Shift wire.Shift `json:"h"`
	// Launcher is the boot of the only controller that may send the launch.
	Launcher wire.Baton `json:"l"`
	// Fence, if not 0, is the baton that the machine must have seen before the
	// launch may be sent or, with Halt, before a report that lacks a task
	// proves that it is gone.
	Fence wire.Baton `json:"f,omitempty"`
	Halt  Halt       `json:"s,omitempty"`
	Tasks TaskSet    `json:"k"`

	Cores        float64    `json:"c,omitempty"`
	Accelerators float64    `json:"g,omitempty"`
	MemGB        float64    `json:"r,omitempty"`
	Rank         int        `json:"p,omitempty"`
	Shape        wire.Shape `json:"b"`

	team string // whose record it stands in; set by the index
}

func (e *Entry) need() placement.Amount {
	return placement.Amount{Cores: e.Cores, Accelerators: e.Accelerators, MemGB: e.MemGB}
}

func (e *Entry) tags() placement.Tags {
	t := placement.Tags{placement.TagJob: string(e.Job)}
	if e.Shape == wire.ShapeService {
		t[placement.TagService] = string(e.Job)
	}
	return t
}

// page is one placement record with its version.
type page struct {
	key     string
	team    string
	zone    string
	n       int
	stamp   wire.Ledger
	size    int
	entries []Entry
}

// pageValue is a page's value in the state service.
type pageValue struct {
	Entries []Entry `json:"e"`
}

func parsePageKey(key string) (team, zone string, n int, err error) {
	rest := strings.TrimPrefix(key, pagePrefix)
	i := strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", "", 0, fmt.Errorf("placement record %q: bad key", key)
	}
	if n, err = strconv.Atoi(rest[i+1:]); err != nil {
		return "", "", 0, fmt.Errorf("placement record %q: bad page", key)
	}
	rest = rest[:i]
	i = strings.LastIndexByte(rest, '/')
	if i < 0 {
		return "", "", 0, fmt.Errorf("placement record %q: bad key", key)
	}
	return rest[:i], rest[i+1:], n, nil
}

func parseDoneKey(key string) (wire.JobID, int, error) {
	job, num, ok := strings.Cut(strings.TrimPrefix(key, donePrefix), "/")
	n, err := strconv.Atoi(num)
	if !ok || err != nil {
		return "", 0, fmt.Errorf("done record %q: bad key", key)
	}
	return wire.JobID(job), n, nil
}
