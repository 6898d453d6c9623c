package config

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/apierror"
)

const validSettings = `
label = "rig-0"
area = "east"
public_addr = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
some_new_field = 7

[[siblings]]
label = "rig-1"
area = "west"
endpoint = "10.0.0.2:8081"

[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"

[cluster]
size = 2
zones = ["east", "west"]
skew_ms = 100.0

[[cluster.teams]]
name = "desk"
cpus = 16.0
cpus_max = 48.0
gpus = 0.0
gpus_max = 0.0

[[cluster.objectives]]
kind = "wait"
class = "portal"
within_s = 1.0
share = 0.96

[cluster.workers]
report_s = 3.0
lease_s = 45.0
gang_wait_s = 35.0
gang_peer_s = 6.0
cancel_s = 65.0

[cluster.state]
rps = 200.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 12

[cluster.cloud]
rps = 5.0
list_lag_s = 5.0

[cluster.quota]
core_share = 0.48
mem_mb = 234.0
sockets = 5000
`

// requireField requires an *apierror.FieldError for the field. If the text is not TOML, it requires an
// error with the line.
func requireField(t *testing.T, field string, err error) {
	t.Helper()
	var fieldErr *apierror.FieldError
	if errors.As(err, &fieldErr) {
		require.Equal(t, field, fieldErr.Field)
	} else {
		require.ErrorContains(t, err, "line ")
	}
}

// TestSettings requires valid settings to be accepted, and the error for an invalid field to name the
// field on one line.
func TestSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "rig-1", s.Siblings[0].Label)
	require.Equal(t, 12, s.Cluster.State.TxnOps)
	for _, c := range []struct{ old, replacement, field string }{
		{`label = "rig-0"`, ``, "label"},
		{`area = "east"`, `area = ""`, "area"},
		{`"10.0.0.1:8080"`, `"rig-0:8080"`, "public_addr"},
		{`"10.0.0.1:8081"`, `"[::1]:8081"`, "peer_listen"},
		{`label = "rig-1"`, `label = "rig-0"`, "siblings[0].label"},
		{`state = "10.2.0.1:2379"`, ``, "services.state"},
		{`size = 2`, `size = 3`, "cluster.size"},
		{`zones = ["east", "west"]`, ``, "cluster.zones"},
		{`cpus_max = 48.0`, `cpus_max = 8.0`, "cluster.teams[0].cpus_max"},
		{`share = 0.96`, `share = 96.0`, "cluster.objectives[0].share"},
		{`report_s = 3.0`, `report_s = 0.0`, "cluster.workers.report_s"},
		{`report_s = 3.0`, `report_s = nan`, "cluster.workers.report_s"},
		{`lease_s = 45.0`, `lease_s = 1.0`, "cluster.workers.lease_s"},
		{`txn_ops = 12`, `txn_ops = 1`, "cluster.state.txn_ops"},
		{`rps = 5.0`, `rps = -5.0`, "cluster.cloud.rps"},
		{`mem_mb = 234.0`, ``, "cluster.quota.mem_mb"},
		{`mem_mb = 234.0`, `mem_mb = "much"`, "mem_mb"},
		{`[cluster.quota]`, `[cluster.quota`, "line"},
	} {
		text := strings.Replace(validSettings, c.old, c.replacement, 1)
		require.NotEqual(t, validSettings, text, c.old)
		_, err := Parse([]byte(text))
		require.ErrorContains(t, err, c.field)
		requireField(t, c.field, err)
		require.NotContains(t, err.Error(), "\n")
	}
	_, err = Load(t.TempDir() + "/none.toml")
	require.ErrorContains(t, err, "none.toml")
}

// TestZeroLimitIsUnlimited checks that a limit of 0, which guest teams have, means no limit.
func TestZeroLimitIsUnlimited(t *testing.T) {
	s, err := Parse([]byte(strings.Replace(validSettings, `cpus_max = 48.0`, `cpus_max = 0.0`, 1)))
	require.NoError(t, err)
	cpus, gpus := s.Cluster.Teams[0].Limits()
	require.Equal(t, Unlimited, cpus)
	require.Equal(t, Unlimited, gpus)
}

// TestOperatorSettings checks that a change keeps the other settings, and that the error for an
// invalid field names the field.
func TestOperatorSettings(t *testing.T) {
	d := DefaultOperatorSettings()
	require.NoError(t, d.check())
	o, err := d.With([]byte(`{"spare_share":0.5,"affinity":"enforced"}`))
	require.NoError(t, err)
	require.Equal(t, AffinityEnforced, o.Affinity)
	require.Equal(t, 0.5, o.HeadroomFraction)
	require.Equal(t, d.ProbeMachines, o.ProbeMachines)
	for text, field := range map[string]string{`{"probe_hosts":0}`: "probe_hosts", `{"probe_s":"x"}`: "probe_s", `{"idle_s":null}`: "idle_s",
		`{"colour":1}`: "colour", `{"affinity":"maybe"}`: "affinity", `{"silence_s":1e9}`: "silence_s", `[]`: "settings", `null`: "settings", `{`: "settings"} {
		_, err := d.With([]byte(text))
		require.ErrorContains(t, err, field, text)
		requireField(t, field, err)
	}
}

// TestWarnings checks that a warning names each setting that is valid but degrades the service.
func TestWarnings(t *testing.T) {
	for _, c := range []struct {
		change   func(*Settings)
		names    string
		warnings int
	}{
		{func(*Settings) {}, "", 0},
		{func(s *Settings) { s.Cluster.Workers.CancelS = s.Cluster.Workers.LeaseS + 1 }, "cluster.workers.cancel_s", 1},
		{func(s *Settings) { s.Cluster.Quota.CoreShare = 0.02 }, "cluster.quota.core_share", 1},
		{func(s *Settings) { s.Cluster.Quota.MemMB = 40 }, "cluster.quota.mem_mb", 1},
	} {
		s, err := Parse([]byte(validSettings))
		require.NoError(t, err)
		c.change(s)
		require.Len(t, s.Warnings(), c.warnings)
		for _, w := range s.Warnings() {
			require.Contains(t, w, c.names)
		}
	}
}
