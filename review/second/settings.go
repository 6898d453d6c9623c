package second

import (
	"fmt"
	"strings"
)

// team is a team of the settings file.
type team struct {
	name                         string
	cpus, cpusMax, gpus, gpusMax float64
}

// settings are the settings of a deployment.
type settings struct {
	zones                      []string
	teams                      []team
	objectives                 string // as in the settings file
	ReportS, LeaseS, CancelS   float64
	GangWaitS, GangPeerS       float64
	RPS, WriteRPS, CloudRPS    float64
	TxnOps                     int
	CoreShare, MemMB, ListLagS float64
	Sockets                    int
}

// solidarios returns settings like those of the Solidarios deployment, with one team.
func solidarios() settings {
	return settings{
		zones:   []string{"san-jose", "heredia", "cartago"},
		teams:   []team{{"despacho", 224, 1200, 24, 32}},
		ReportS: 3, LeaseS: 21, CancelS: 46, GangWaitS: 45, GangPeerS: 8,
		RPS: 150, WriteRPS: 40, CloudRPS: 5, TxnOps: 32, CoreShare: 0.18, MemMB: 179, ListLagS: 3, Sockets: 1500,
	}
}

// toml returns the settings file of a controller. links has the addresses of its siblings.
func (s *settings) toml(i int, public, peer, state, cloud string, links map[int]string) string {
	var b strings.Builder
	add := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	add("label = %q\narea = %q\npublic_addr = %q\npeer_listen = %q", nodeLabel(i), s.zones[i%len(s.zones)], public, peer)
	for other := range nodeCount {
		if other != i {
			add("[[siblings]]\nlabel = %q\narea = %q\nendpoint = %q", nodeLabel(other), s.zones[other%len(s.zones)], links[other])
		}
	}
	add("[services]\ncloud = %q\nstate = %q", cloud, state)
	add("[cluster]\nsize = %d\nzones = [\"%s\"]\nskew_ms = 25.0", nodeCount, strings.Join(s.zones, `", "`))
	for _, t := range s.teams {
		add("[[cluster.teams]]\nname = %q\ncpus = %g\ncpus_max = %g\ngpus = %g\ngpus_max = %g", t.name, t.cpus, t.cpusMax, t.gpus, t.gpusMax)
	}
	add("%s", s.objectives)
	add("[cluster.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = %g\ngang_peer_s = %g\ncancel_s = %g", s.ReportS, s.LeaseS, s.GangWaitS, s.GangPeerS, s.CancelS)
	add("[cluster.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = 8.0\ntxn_ops = %d", s.RPS, s.WriteRPS, s.TxnOps)
	add("[cluster.cloud]\nrps = %g\nlist_lag_s = %g", s.CloudRPS, s.ListLagS)
	add("[cluster.quota]\ncore_share = %g\nmem_mb = %g\nsockets = %d", s.CoreShare, s.MemMB, s.Sockets)
	return b.String()
}
