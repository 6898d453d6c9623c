package standin

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const (
	deployFile  = "deploy/service.toml"
	upTimeout   = time.Second
	upPause     = 100 * time.Millisecond
	settingMode = 0o600
)

// Team is a team of the settings.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Deployment is what the settings files of all controllers say.
type Deployment struct {
	Areas, Yards                          []string
	Teams                                 []Team
	ReportS, LeaseS, GangWaitS, GangPeerS float64
	CancelS, SkewMS, CloudRPS, ListLagS   float64
	CoreShare, MemMB                      float64
	Sockets                               int
	State                                 StoreLimits
}

// Parakh returns the settings of a small Parakh deployment, as the brief and the page on the deploy
// file give them.
func Parakh() Deployment {
	d := Deployment{
		Areas: []string{"lahore-east", "multan-hall", "karachi-port"}, Yards: []string{"hyderabad-annex", "karachi-port", "lahore-east", "multan-hall"},
		ReportS: 3, LeaseS: 45, GangWaitS: 35, GangPeerS: 6, CancelS: 65, SkewMS: 100, CloudRPS: 5, ListLagS: 5,
		CoreShare: 0.48, MemMB: 234, Sockets: 5000,
		State: StoreLimits{RPS: 200, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
	}
	for n := range 8 {
		d.Teams = append(d.Teams, Team{Name: fmt.Sprintf("valuation-desk-%02d", n), CPUs: 16, CPUsMax: 48})
	}
	return d
}

// Nodes are the processes of the controllers.
type Nodes struct {
	List     []Node
	record   *Record
	folder   string
	run      []string
	settings []string
	running  []*exec.Cmd
}

// NewNodes chooses the addresses of the controllers and writes their settings files into a folder.
func NewNodes(record *Record, folder string, deployment Deployment, cloud, state func(node int) string) (*Nodes, error) {
	n := &Nodes{record: record, folder: folder, running: make([]*exec.Cmd, len(deployment.Areas))}
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil || deploy.Run == "" {
		return nil, errors.Join(errors.New("deploy file: no run"), err)
	}
	n.run = strings.Fields(deploy.Run)
	var peers []string
	for i := range deployment.Areas {
		public, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		peer, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		n.List, peers = append(n.List, Node{fmt.Sprint("rig-", i), public}), append(peers, peer)
	}
	for i := range deployment.Areas {
		path := filepath.Join(folder, fmt.Sprintf("rig-%d.toml", i))
		if err := os.WriteFile(path, []byte(settings(deployment, n.List, peers, i, cloud(i), state(i))), settingMode); err != nil {
			return nil, fmt.Errorf("settings file: %w", err)
		}
		n.settings = append(n.settings, path)
	}
	return n, nil
}

// settings returns the settings file of one controller.
func settings(d Deployment, nodes []Node, peers []string, i int, cloud, state string) string {
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	line("label = %q\narea = %q\npublic_addr = %q\npeer_listen = %q", nodes[i].Label, d.Areas[i], nodes[i].Addr, peers[i])
	for k := range nodes {
		if k != i {
			line("[[siblings]]\nlabel = %q\narea = %q\nendpoint = %q", nodes[k].Label, d.Areas[k], peers[k])
		}
	}
	line("[services]\ncloud = %q\nstate = %q", cloud, state)
	line("[cluster]\nsize = %d\nskew_ms = %f", len(nodes), d.SkewMS)
	var yards []string
	for _, yard := range d.Yards {
		yards = append(yards, fmt.Sprintf("%q", yard))
	}
	line("zones = [%s]", strings.Join(yards, ", "))
	for _, team := range d.Teams {
		line("[[cluster.teams]]\nname = %q\ncpus = %f\ncpus_max = %f\ngpus = %f\ngpus_max = %f", team.Name, team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax)
	}
	line(objectives)
	line("[cluster.workers]\nreport_s = %f\nlease_s = %f\ngang_wait_s = %f\ngang_peer_s = %f\ncancel_s = %f", d.ReportS, d.LeaseS, d.GangWaitS, d.GangPeerS, d.CancelS)
	line("[cluster.state]\nrps = %f\nwrite_rps = %f\nvalue_kb = %f\ntxn_ops = %d", d.State.RPS, d.State.WriteRPS, d.State.ValueKB, d.State.TxnOps)
	line("[cluster.cloud]\nrps = %f\nlist_lag_s = %f", d.CloudRPS, d.ListLagS)
	line("[cluster.quota]\ncore_share = %f\nmem_mb = %f\nsockets = %d", d.CoreShare, d.MemMB, d.Sockets)
	return b.String()
}

// Start starts a controller. Its log goes to a file in the folder.
func (n *Nodes) Start(i int) error {
	command := exec.Command(n.run[0], append(n.run[1:], n.settings[i])...)
	command.Env = append(os.Environ(), "LOG_LEVEL=info")
	log, err := os.OpenFile(filepath.Join(n.folder, n.List[i].Label+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, settingMode)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this program is killed
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.List[i].Label, err)
	}
	n.running[i] = command
	n.record.Add("%s: started", n.List[i].Label)
	return log.Close()
}

// StartAll starts all controllers and waits until each answers GET /up with 200.
func (n *Nodes) StartAll(limit time.Duration) error {
	for i := range n.List {
		if err := n.Start(i); err != nil {
			return err
		}
	}
	client := newClient()
	for end := time.Now().Add(limit); ; time.Sleep(upPause) {
		up := 0
		for _, node := range n.List {
			if status, _ := call(client, http.MethodGet, "http://"+node.Addr+"/up", nil, upTimeout); status == http.StatusOK {
				up++
			}
		}
		if up == len(n.List) {
			n.record.Add("all controllers are up")
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d controllers are up after %s", up, limit)
		}
	}
}

// Kill ends a controller.
func (n *Nodes) Kill(i int) {
	if n.running[i] != nil {
		_ = n.running[i].Process.Kill()
		_ = n.running[i].Wait()
		n.running[i] = nil
	}
}

// KillAll ends all controllers.
func (n *Nodes) KillAll() {
	for i := range n.List {
		n.Kill(i)
	}
}

// Log returns the log of a controller.
func (n *Nodes) Log(i int) string {
	text, _ := os.ReadFile(filepath.Join(n.folder, n.List[i].Label+".log"))
	return string(text)
}

// objectives are the objectives of the page on the deploy file.
const objectives = `
[[cluster.objectives]]
kind = "wait"
class = "assessment-portal"
within_s = 1.0
share = 0.96
[[cluster.objectives]]
kind = "finished"
class = "parcel-revalue"
within_s = 180.0
share = 0.92
[[cluster.objectives]]
kind = "finished"
class = "parcel-revalue"
within_s = 300.0
share = 0.97
[[cluster.objectives]]
kind = "guarantee"
within_s = 5.0
share = 0.92
`
