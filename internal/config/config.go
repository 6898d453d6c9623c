// Package config reads and checks the settings file, which the platform provides to every
// controller, the features file and the operator settings.
package config

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the settings file of one controller. Unknown fields of the file are ignored, since
// the platform may add some. Fields whose names end in S are in seconds.
type Settings struct {
	Label      string    `toml:"label"`
	Zone       string    `toml:"area"`
	PublicAddr string    `toml:"public_addr"`
	PeerListen string    `toml:"peer_listen"`
	Siblings   []Sibling `toml:"siblings"`
	Services   Services  `toml:"services"`
	Cluster    Cluster   `toml:"cluster"`

	// Features are read from a separate file.
	Features Features `toml:"-"`
}

// Sibling is another controller of the cluster. Endpoint is the address on which it receives peer
// messages.
type Sibling struct {
	Label    string `toml:"label"`
	Zone     string `toml:"area"`
	Endpoint string `toml:"endpoint"`
}

// Services holds the addresses, with port, of the cloud and the state store.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster holds the settings that are the same for all controllers.
type Cluster struct {
	Size       int         `toml:"size"`
	Zones      []string    `toml:"zones"`
	SkewMS     float64     `toml:"skew_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      State       `toml:"state"`
	Cloud      Cloud       `toml:"cloud"`
	Quota      Quota       `toml:"quota"`
}

// Team is a team with its quota guarantee and quota limit. A guarantee of 0 means no guarantee, and
// a limit of 0 means no limit. Guest teams are listed with both at 0, and get the capacity that is
// free.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Unlimited is the amount that stands for no limit. It is more than any cluster has, and small
// enough that its quotient by a task's fraction of a core is still a finite number.
const Unlimited = 1e12

// Limits returns the maximum amounts that the team's tasks may use at any time.
func (t *Team) Limits() (cpus, gpus float64) {
	cpus, gpus = t.CPUsMax, t.GPUsMax
	if cpus == 0 {
		cpus = Unlimited
	}
	if gpus == 0 {
		gpus = Unlimited
	}
	return cpus, gpus
}

// Objective is a service level objective. The fraction Share of the cases of a kind, in jobs of a
// class, is to take at most WithinS seconds.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Workers holds the timing of workers: the interval between their heartbeats, the duration of their
// lease, how long a gang's tasks wait for one another, and the time within which a cancelled job
// must have stopped.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
}

// State holds the limits of the state store.
type State struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Cloud holds the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Quota holds the resources that one controller process may use.
type Quota struct {
	CoreShare float64 `toml:"core_share"`
	MemMB     float64 `toml:"mem_mb"`
	Sockets   int     `toml:"sockets"`
}

// Load reads and checks the settings file. Its error is one line that names the file and the field.
// The error wraps an *apierror.FieldError unless the file cannot be read or is not TOML.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var pathErr *fs.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and checks settings. Its error is an *apierror.FieldError for the first invalid
// field, or gives the position at which the text is not TOML.
func Parse(text []byte) (*Settings, error) {
	s := Settings{Features: DefaultFeatures()}
	if err := toml.Unmarshal(text, &s); err != nil {
		return nil, describeTOML(err)
	}
	return &s, s.check()
}

// Seconds converts a number of seconds from the settings to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
