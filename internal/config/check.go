package config

import (
	"fmt"
	"math"
	"net/netip"

	"lilacrill/internal/apierror"
)

// maxTextBytes is the maximum length of a text in the settings, in bytes.
const maxTextBytes = 100

// maxAmount is the upper bound of amounts, and of times in seconds. A larger value is considered a
// mistake.
const maxAmount = 1e9

const (
	secondsPerHour = 3600
	secondsPerDay  = 24 * secondsPerHour
)

// settingsChecker checks fields one by one and keeps the first error.
type settingsChecker struct {
	firstError error
}

// check returns an *apierror.FieldError for the first invalid field, or nil.
func (s *Settings) check() error {
	var checker settingsChecker
	checker.text("label", s.Label)
	checker.text("area", s.Zone)
	checker.addr("public_addr", s.PublicAddr)
	checker.addr("peer_listen", s.PeerListen)
	checker.siblings(s.Label, s.Siblings)
	checker.addr("services.cloud", s.Services.Cloud)
	checker.addr("services.state", s.Services.State)
	if s.Cluster.Size != len(s.Siblings)+1 {
		checker.fail("cluster.size", "%d, but %d siblings are named", s.Cluster.Size, len(s.Siblings))
	}
	checker.cluster(&s.Cluster)
	return checker.firstError
}

func (c *settingsChecker) siblings(ownLabel string, siblings []Sibling) {
	labels := map[string]bool{ownLabel: true}
	for i, sibling := range siblings {
		field := fmt.Sprintf("siblings[%d]", i)
		c.text(field+".label", sibling.Label)
		c.addr(field+".endpoint", sibling.Endpoint)
		c.unique(field+".label", sibling.Label, labels)
	}
}

func (c *settingsChecker) cluster(cluster *Cluster) {
	if len(cluster.Zones) == 0 {
		c.fail("cluster.zones", "missing")
	}
	for i, zone := range cluster.Zones {
		c.text(fmt.Sprintf("cluster.zones[%d]", i), zone)
	}
	c.within("cluster.skew_ms", cluster.SkewMS, 0, 1e6)
	c.teams(cluster.Teams)
	for i, objective := range cluster.Objectives {
		field := fmt.Sprintf("cluster.objectives[%d]", i)
		c.text(field+".kind", objective.Kind)
		c.within(field+".within_s", objective.WithinS, 0, maxAmount)
		c.within(field+".share", objective.Share, 0, 1)
	}
	c.workers(&cluster.Workers)
	c.services(&cluster.State, &cluster.Cloud)
	c.quota(&cluster.Quota)
}

func (c *settingsChecker) teams(teams []Team) {
	if len(teams) == 0 {
		c.fail("cluster.teams", "missing")
	}
	names := map[string]bool{}
	for i, team := range teams {
		field := fmt.Sprintf("cluster.teams[%d]", i)
		c.text(field+".name", team.Name)
		c.unique(field+".name", team.Name, names)
		c.within(field+".cpus", team.CPUs, 0, maxAmount)
		c.limit(field+".cpus_max", team.CPUsMax, team.CPUs)
		c.within(field+".gpus", team.GPUs, 0, maxAmount)
		c.limit(field+".gpus_max", team.GPUsMax, team.GPUs)
	}
}

func (c *settingsChecker) workers(workers *Workers) {
	c.within("cluster.workers.report_s", workers.ReportS, 0.01, secondsPerHour)
	c.within("cluster.workers.lease_s", workers.LeaseS, workers.ReportS, secondsPerDay)
	c.within("cluster.workers.gang_wait_s", workers.GangWaitS, 0.01, secondsPerDay)
	c.within("cluster.workers.gang_peer_s", workers.GangPeerS, 0.01, secondsPerDay)
	c.within("cluster.workers.cancel_s", workers.CancelS, 0.01, secondsPerDay)
}

func (c *settingsChecker) services(state *State, cloud *Cloud) {
	c.within("cluster.state.rps", state.RPS, 1, 1e7)
	c.within("cluster.state.write_rps", state.WriteRPS, 1, 1e7)
	c.within("cluster.state.value_kb", state.ValueKB, 2, 1<<20)
	c.within("cluster.state.txn_ops", float64(state.TxnOps), 4, 1e6)
	c.within("cluster.cloud.rps", cloud.RPS, 0.1, 1e6)
	c.within("cluster.cloud.list_lag_s", cloud.ListLagS, 0, secondsPerHour)
}

func (c *settingsChecker) quota(quota *Quota) {
	c.within("cluster.quota.core_share", quota.CoreShare, 0.01, 1024)
	c.within("cluster.quota.mem_mb", quota.MemMB, 32, 1e7)
	c.within("cluster.quota.sockets", float64(quota.Sockets), 32, 1e7)
}

// fail records an error for the field unless there is an earlier one.
func (c *settingsChecker) fail(field, format string, args ...any) {
	if c.firstError == nil {
		c.firstError = apierror.Field(field, format, args...)
	}
}

func (c *settingsChecker) text(field, text string) {
	switch {
	case text == "":
		c.fail(field, "missing")
	case len(text) > maxTextBytes:
		c.fail(field, "longer than %d bytes", maxTextBytes)
	}
}

func (c *settingsChecker) addr(field, text string) {
	c.text(field, text)
	addr, err := netip.ParseAddrPort(text)
	if err != nil || !addr.Addr().Is4() || addr.Port() == 0 {
		c.fail(field, "%q is not an IPv4 address with a port", text)
	}
}

func (c *settingsChecker) within(field string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		c.fail(field, "%v is not between %v and %v", value, low, high)
	}
}

// limit checks a team's quota limit. A limit of 0 means that there is none.
func (c *settingsChecker) limit(field string, limit, guarantee float64) {
	if limit != 0 {
		c.within(field, limit, guarantee, maxAmount)
	}
}

// unique records an error if the name has been used before, and marks it as used.
func (c *settingsChecker) unique(field, name string, used map[string]bool) {
	if used[name] {
		c.fail(field, "%q is used twice", name)
	}
	used[name] = true
}
