package core

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lilacrill/internal/placement"
	"lilacrill/wire"
)

// Keys in the state service. Everything lives under one root, so that one feed
// carries all of it.
const (
	rootKey     = "l/"
	tokenKey    = "l/baton"
	buyerKey    = "l/buyer"
	settingsKey = "l/settings"
	nodePrefix  = "l/n/" // + label: the controllers that are alive
	jobPrefix   = "l/j/" // + job: jobs that are not over, and how the latest ended
	finalPrefix = "l/f/" // + job: how older ones ended, for ever
	pagePrefix  = "l/p/" // + team/zone/page: placement records
	returnsKey  = "l/m"  // the machines about to be returned
	imagePrefix = "l/i/" // + number: images that machines were seen to have
)

// loadPrefixes are read when a controller starts. Final states under keys of their
// own are not: they are kept for ever, and read when somebody asks.
//
// Jobs are read before placement records, which speak of them.
var loadPrefixes = []string{"l/b", "l/i/", "l/j/", "l/m", "l/n/", "l/p/", "l/s"}

func jobKey(id wire.JobID) string   { return jobPrefix + string(id) }
func finalKey(id wire.JobID) string { return finalPrefix + string(id) }
func nodeKey(label string) string   { return nodePrefix + label }
func imageKey(shard int) string     { return imagePrefix + strconv.Itoa(shard) }
func pageKey(team, zone string, n int) string {
	return pagePrefix + team + "/" + zone + "/" + strconv.Itoa(n)
}

// nodeRecord says that a controller is alive; it hangs on its lease.
type nodeRecord struct {
	Boot wire.FencingToken `json:"boot"`
	// Isolated says that it reaches no workers, so that it should own no team.
	Isolated bool `json:"deaf,omitempty"`
}

// jobRecord is a job that is not over.
type jobRecord struct {
	Spec wire.JobSpec `json:"spec"`
	// At is when the job was accepted, in Unix milliseconds.
	At int64 `json:"at"`
	// By is the boot of the controller that accepted it and places it first.
	By wire.FencingToken `json:"by"`
	// Over, if set, is how it ended, and all that is left of it.
	Over *finalRecord `json:"over,omitempty"`
}

// overRecord is what a job's record becomes when it ends.
type overRecord struct {
	Over finalRecord `json:"over"`
}

var errNotFinal = errors.New("not a final state")

// finalRecord is how a job ended.
type finalRecord struct {
	Status wire.Status `json:"status"`
	Done   int         `json:"done"`
}

// returnsRecord is all machines that are about to be returned, by why, and those
// that the cloud has confirmed to be gone while something still stands on them:
// whoever reads that may take it as proof. One that leaves Going without being
// Gone was kept after all. One record for all of them costs one write however
// many go at once, and gives placements one version to demand.
type returnsRecord struct {
	Going map[string][]wire.MachineID `json:"going,omitempty"`
	Gone  []wire.MachineID            `json:"gone,omitempty"`
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
	head
	Machine wire.MachineID
	// Session is the machine's session the launch is meant for: a worker obeys no
	// command of another session.
	Session wire.Session
	Tasks   TaskSet

	page *page    // where it stands; set by the index
	on   *machine // the same
}

// head is what the entries of one job and round share.
type head struct {
	Job     wire.JobID   `json:"j"`
	Attempt wire.Attempt `json:"a"`
	// Launcher is the boot of the only controller that may send the launch.
	Launcher wire.FencingToken `json:"l"`
	// Fence, if not 0, is the token that the machine must have seen before the
	// launch may be sent or, with Halt, before a report that lacks a task
	// proves that it is gone.
	Fence wire.FencingToken `json:"f,omitempty"`
	Halt  Halt              `json:"s,omitempty"`

	Cores        float64    `json:"c,omitempty"`
	Accelerators float64    `json:"g,omitempty"`
	MemGB        float64    `json:"r,omitempty"`
	Rank         int        `json:"p,omitempty"`
	Shape        wire.Shape `json:"b"`
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

// page is one placement record with its version. Page 0 of a team and zone is
// its head: whatever adds an entry to any page of the zone writes the head too,
// so that one version stands for all of them.
type page struct {
	key     string
	team    string
	zone    string
	n       int
	version wire.Revision
	size    int // the most that its value can come to as its tasks end one by one
	entries []Entry
	done    map[wire.JobID]TaskSet
	// look says that something may have come up since its proofs were last taken.
	look bool
}

// pageValue is a page's value in the state service. Tasks that are done move
// from their entry to Done in the write that removes them, and stay there until
// the job is over: an end costs no write of its own.
type pageValue struct {
	Groups []group                `json:"e"`
	Done   map[wire.JobID]TaskSet `json:"d,omitempty"`
}

// group is the entries that share a head, machine by machine.
type group struct {
	head
	Machines []wire.MachineID `json:"m"`
	Sessions []wire.Session   `json:"h"`
	Tasks    []TaskSet        `json:"k"`
}

// value packs a page. Entries of one head must stand together.
func (p *page) value() pageValue {
	v := pageValue{Groups: []group{}, Done: p.done}
	for i := range p.entries {
		e := &p.entries[i]
		if k := len(v.Groups); k == 0 || v.Groups[k-1].head != e.head {
			v.Groups = append(v.Groups, group{head: e.head})
		}
		g := &v.Groups[len(v.Groups)-1]
		g.Machines, g.Sessions, g.Tasks = append(g.Machines, e.Machine), append(g.Sessions, e.Session), append(g.Tasks, e.Tasks)
	}
	return v
}

// unpack takes a value's entries into the page.
func (p *page) unpack(v *pageValue) error {
	for i := range v.Groups {
		g := &v.Groups[i]
		if len(g.Sessions) != len(g.Machines) || len(g.Tasks) != len(g.Machines) {
			return fmt.Errorf("placement record %q: group of %d machines with %d shifts and %d sets",
				p.key, len(g.Machines), len(g.Sessions), len(g.Tasks))
		}
		for k := range g.Machines {
			p.entries = append(p.entries, Entry{head: g.head, Machine: g.Machines[k], Session: g.Sessions[k], Tasks: g.Tasks[k]})
		}
	}
	p.done = v.Done
	return nil
}

// tidy orders the entries so that those of one head stand together.
func (p *page) tidy() {
	slices.SortStableFunc(p.entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt), cmp.Compare(a.Halt, b.Halt),
			cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.Launcher, b.Launcher), cmp.Compare(a.Machine, b.Machine))
	})
}

// What parts of a page's value take beyond what stands in them.
const (
	pageRoom = len(`{"e":[],"d":{}}`)
	onesRoom = len(`"",`) + len(`,`) + len(`,`)
	doneRoom = len(`"":,`)
)

// room is what an entry takes on its page, beside the head.
func (e *Entry) room() int {
	return onesRoom + len(e.Machine) + len(strconv.FormatUint(uint64(e.Session), 10)) + e.Tasks.room()
}

// room is what a head takes with the empty lists after it.
func (h *head) room() int { return len(encode(group{head: *h})) + len(`,`) }

// roomAfter is what an entry adds to a page that ends with the entries before.
// As its tasks end one by one they come to take a little more, on the part of
// the page that new entries leave free.
func (e *Entry) roomAfter(before []Entry) int {
	if k := len(before); k > 0 && before[k-1].head == e.head {
		return e.room()
	}
	return e.room() + e.head.room()
}

func (p *page) measure() {
	p.size = pageRoom
	for i := range p.entries {
		p.size += p.entries[i].roomAfter(p.entries[:i])
	}
	for id, set := range p.done {
		p.size += doneRoom + len(id) + set.room()
	}
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
