package core

import (
	"time"

	"lilacrill/internal/capacity"
	"lilacrill/internal/config"
	"lilacrill/wire"
)

const (
	// bootUsual is how many times the usual boot time a machine may take and still
	// be counted on; what is rented beyond that time is rented elsewhere if it can.
	bootUsual = 1.8
	bootSlack = 3 * time.Second
	// bootMost is the same until it is returned as one that never came up, and
	// bootMostLate while machines of its type come late, so that they are not
	// returned just before they are up. bootLate says from when on one is late.
	bootMost     = 4.0
	bootMostLate = 9.0
	bootLate     = 2.5
	neverSlack   = 10 * time.Second
	// lateLasts is how long one late machine has others waited for longer.
	lateLasts = 3 * time.Minute
)

// unborn reports whether a rented machine has not come up yet.
func (m *machine) unborn() bool {
	return m.newest == nil && !m.gone && m.status != wire.MachineFailed
}

// bootExpected reports whether a rented machine may still be expected to come up soon.
func (c *Core) bootExpected(m *machine) bool {
	t := c.kind(m.kind)
	if t == nil || !m.unborn() {
		return false
	}
	if _, going := c.leaving[m.id]; going {
		return false
	}
	return c.now.Sub(m.born) < config.Seconds(bootUsual*t.StartupS)+bootSlack
}

// neverCame reports whether a machine is to be given up that did not come up.
func (c *Core) neverCame(m *machine) bool {
	t := c.kind(m.kind)
	if t == nil {
		return false
	}
	// As long as none of its type that was rented later is up, all of them may be
	// late: returned too soon, none would ever come up.
	boots := c.boots[m.kind]
	most := bootMostLate
	if boots.born > m.born && (boots.late == 0 || c.now.Sub(boots.late) > lateLasts) {
		most = bootMost
	}
	return c.now.Sub(m.born) > config.Seconds(most*t.StartupS)+neverSlack
}

// cameUp notes how long a machine took to come up.
func (c *Core) cameUp(m *machine) {
	t := c.kind(m.kind)
	if t == nil || m.born == 0 || m.born < c.readyAt {
		return
	}
	boots := c.boots[m.kind]
	boots.born = max(boots.born, m.born)
	if took := c.now.Sub(m.born); took > config.Seconds(bootLate*t.StartupS) {
		if boots.late == 0 || c.now.Sub(boots.late) > lateLasts {
			c.log.Info("machines come up late", "type", m.kind, "zone", m.zone, "took", took)
		}
		boots.late = c.now
	}
	c.boots[m.kind] = boots
}

// boots is how machines of a type came up.
type boots struct {
	born Time // when the newest of them that is up was rented
	late Time // when one last came up late; 0: not yet
}

// doubts says for each offer which part of the machines that were rented of it
// and are not up yet are overdue: others are rented first.
func (c *Core) doubts() map[capacity.Key]float64 {
	waiting, overdue := map[capacity.Key]float64{}, map[capacity.Key]float64{}
	for _, m := range c.machines {
		if _, going := c.leaving[m.id]; going || !m.unborn() || m.status != wire.MachineBooting {
			continue
		}
		key := capacity.Key{Type: m.kind, Zone: m.zone, Spot: m.spot}
		waiting[key]++
		if !c.bootExpected(m) {
			overdue[key]++
		}
	}
	for key, n := range overdue {
		overdue[key] = n / (waiting[key] + 1)
	}
	return overdue
}
