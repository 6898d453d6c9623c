package core

import (
	"slices"
	"time"

	"lilacrill/internal/capacity"
	"lilacrill/internal/config"
	"lilacrill/internal/record"
	"lilacrill/wire"
)

// cloudView is what this controller knows of the cloud, and what it is doing
// there if it is the buyer.
type cloudView struct {
	catalogue   []wire.MachineType
	catalogueAt Time
	cataloguing bool

	backlog []demand // tasks without room, as the last plan left them
	lacking int      // tasks that the spare room falls short of

	claiming          bool
	vacant            Time // since when nobody is known to buy
	listing           bool
	nextList          Time
	lists             int // good lists since this controller became the buyer
	hiring            int
	nextBuy           Time
	refused           map[capacity.Key]refusal
	returning         bool
	returned          map[wire.MachineID]bool   // asked to be returned, so not to be kept
	toReturn          map[wire.MachineID]string // to be written down as going, and why
	cutZones          map[string]cut            // zones that seem to be cut off
	dearest           float64                   // the price of a core above which machines are left alone; 0: not known
	returnsCall       bool                      // the list of them is being written
	nextReturns       Time
	nextMachineReview Time
	toldCloud         map[wire.MachineID]wire.MachineStatus // as the siblings were told
	boots             map[string]boots                      // by type
	silentAt          []Time                                // when machines were given up for their silence
}

func (v *cloudView) init() {
	v.refused = map[capacity.Key]refusal{}
	v.boots = map[string]boots{}
	v.toReturn = map[wire.MachineID]string{}
	v.cutZones = map[string]cut{}
	v.returned = map[wire.MachineID]bool{}
}

const (
	catalogueEvery     = time.Minute
	listEvery          = 2 * time.Second
	buyEvery           = 300 * time.Millisecond
	machineReviewEvery = 200 * time.Millisecond
	machineReviewMost  = 500 * time.Millisecond
	returnsEvery       = 300 * time.Millisecond
	claimPatience      = 3 * time.Second
	refusalPause       = 5 * time.Second // doubled with every refusal in a row
	refusalMost        = 40 * time.Second
	hiresAtOnce        = 4
	overPart           = 0.2 // of the time for a cancellation, that a machine may take to hear of it
	overPartCut        = 0.5 // the same while it may be us who cannot be heard
	askedBySome        = 2 * time.Second
	cutLeast           = 5 // silent machines that a zone must have for replicas in it to be left alone
	cutLeases          = 3
	cutFor             = 40 * time.Second // after which a zone is tried again
	silentWindow       = 10 * time.Second
	silentLeast        = 4 // machines that may be given up in a window, however small the fleet
	criticalTasksPart  = 2 // of that, one half is kept for machines with critical tasks
	silentPart         = 4 // and at least every fourth of those that report
)

func (c *Core) kind(name string) *wire.MachineType {
	for i := range c.catalogue {
		if c.catalogue[i].Name == name {
			return &c.catalogue[i]
		}
	}
	return nil
}

func (c *Core) tickCloud() {
	if !c.cataloguing && (len(c.catalogue) == 0 || c.now.Sub(c.catalogueAt) > catalogueEvery) && c.after(c.catalogueAt) {
		c.readCatalogue()
	}
	if !c.whole() || !c.stateFresh() {
		return
	}
	if c.buyer != c.boot {
		c.lists = 0
		c.claim()
		return
	}
	if c.isolated() {
		c.resign()
		return
	}
	if c.behind {
		return // another may have bought in our place meanwhile
	}
	if !c.listing && c.after(c.nextList) {
		c.list()
	}
	if c.after(c.nextMachineReview) {
		c.nextMachineReview = c.now.Add(c.paced(machineReviewEvery, machineReviewMost))
		c.reviewMachines()
	}
	c.writeReturns()
	c.giveBack()
	c.noteImages()
	if c.after(c.nextBuy) {
		c.nextBuy = c.now.Add(max(buyEvery, 3*c.planPause()))
		c.buy()
	}
}

func (c *Core) readCatalogue() {
	c.cataloguing = true
	c.do(ReadCatalogue{call(c, func(r CatalogueRead) {
		c.cataloguing = false
		c.outcome(r.Outcome, countCloudNot, countCloudLost)
		if r.Outcome != Done {
			// An old catalogue still serves; without any, ask again soon.
			c.catalogueAt = c.now.Add(time.Second)
			return
		}
		c.catalogue, c.catalogueAt, c.dirty = r.Catalogue.Types, c.now, true
	})})
}

// claim tries to become the buyer when there is none: one buyer at a time keeps
// controllers from renting twice for the same need.
func (c *Core) claim() {
	if c.buyer != 0 {
		c.vacant = 0
		return
	}
	if c.vacant == 0 {
		c.vacant = c.now
	}
	if c.claiming || c.leaseID == 0 || !c.enrolled || c.isolated() || !c.ownsTeam("buyer") && c.now.Sub(c.vacant) < claimPatience {
		return
	}
	c.claiming = true
	claim := c.put(record.ProvisionerKey, c.boot)
	claim.LeaseID = c.leaseID
	c.commit(ClassRest, wire.Transaction{
		If:   []wire.Condition{{Key: record.ProvisionerKey, Version: c.keyVersions[record.ProvisionerKey]}},
		Then: []wire.Change{claim},
	}, func(r Committed) {
		c.claiming = false
		c.vacant = 0
		if r.Outcome == Done {
			c.log.Info("this controller now buys and returns machines")
		} else {
			c.barrier(func(bool) {})
		}
	})
}

// resign leaves buying to another controller, as one that reaches no workers
// cannot tell which machines are to be returned. If all are like this, nobody
// can.
func (c *Core) resign() {
	if c.claiming || len(c.labels) == 0 || slices.Contains(c.labels, c.settings.Label) {
		return
	}
	c.claiming = true
	c.log.Info("this controller reaches no workers and leaves buying to another")
	c.commit(ClassRest, wire.Transaction{
		If:   []wire.Condition{{Key: record.ProvisionerKey, Version: c.keyVersions[record.ProvisionerKey]}},
		Then: []wire.Change{{Delete: record.ProvisionerKey}},
	}, func(Committed) {
		c.claiming = false
		c.barrier(func(bool) {})
	})
}

func (c *Core) list() {
	c.listing = true
	c.nextList = c.now.Add(listEvery)
	c.do(ListMachines{call(c, func(r Listed) {
		c.listing = false
		c.outcome(r.Outcome, countCloudNot, countCloudLost)
		if r.Outcome != Done {
			return
		}
		c.lists++
		c.listed(r.Machines)
		// A list of several pages takes as many calls, which hires need as well.
		c.nextList = max(c.nextList, c.now.Add(listEvery*time.Duration(len(r.Machines)/wire.MaxMachinesPerPage)))
		c.tellList(r.Machines)
	})})
}

// tellList passes on what is new in the list: most of it never changes.
func (c *Core) tellList(list []wire.CloudMachine) {
	told := make(map[wire.MachineID]wire.MachineStatus, len(list))
	var news []wire.CloudMachine
	for i := range list {
		l := &list[i]
		told[l.ID] = l.Status
		if c.toldCloud[l.ID] != l.Status {
			news = append(news, *l)
		}
	}
	c.toldCloud = told
	if len(news) > 0 {
		line := c.newLine()
		line.CloudMachines = news
		c.tell(line)
	}
}

// listed takes a machine list. It lags, so absence from it proves nothing.
func (c *Core) listed(list []wire.CloudMachine) {
	for _, l := range list {
		m := c.machineOf(l.ID)
		if m.newest == nil {
			m.addr, m.kind, m.zone, m.spot = l.Addr, l.Type, l.Zone, l.Spot
		}
		m.listed = c.now
		m.status = l.Status
		if born := c.now.Add(-config.Seconds(l.AgeS)); m.born == 0 || born < m.born {
			m.born = born
		}
	}
}
