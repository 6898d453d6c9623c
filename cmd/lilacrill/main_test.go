package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/admin"
	"lilacrill/internal/config"
	"lilacrill/internal/simulation"
	"lilacrill/wire"
)

// testTimeout bounds the wait for a condition that must eventually hold. The tests do not assert
// how long it takes.
const testTimeout = time.Minute

// lastLoopbackAddr is the number of the loopback address that freeAddr returned last.
var lastLoopbackAddr atomic.Int32

// loopbackAddrsPerSubnet is how many addresses freeAddr uses of each subnet of 256.
const loopbackAddrsPerSubnet = 250

// freeAddr returns a free port on a loopback address that nothing else uses, so that no other
// listener or outgoing connection takes the port before the test does.
func freeAddr(t testing.TB) string {
	number := int(lastLoopbackAddr.Add(1))
	ln, err := net.Listen("tcp4", fmt.Sprintf("127.77.%d.%d:0", number/loopbackAddrsPerSubnet, number%loopbackAddrsPerSubnet+1))
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	return ln.Addr().String()
}

// cluster consists of two controllers on loopback addresses, with a fake state store and a fake
// cloud.
type cluster struct {
	state *simulation.StoreServer
	addrs []string
}

func startCluster(t *testing.T, token string) *cluster {
	return startClusterWithFeatures(t, token, config.DefaultFeatures())
}

func startClusterWithFeatures(t *testing.T, token string, features config.Features) *cluster {
	t.Setenv(admin.TokenVariable, token)
	started := &cluster{state: simulation.NewStoreServer()}
	state := httptest.NewServer(started.state)
	cloud := httptest.NewServer(simulation.CloudServer{Types: []wire.MachineType{
		{Name: "c4", Cores: 4, MemGB: 16, OnDemandPrice: 1, SpotPrice: 0.5, StartupS: 1, Zones: []string{"east"}}}})
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		stop()
		running.Wait()
		state.CloseClientConnections()
		state.Close()
		cloud.Close()
	})
	peers := []string{freeAddr(t), freeAddr(t)}
	for i := range 2 {
		started.addrs = append(started.addrs, freeAddr(t))
		settings := &config.Settings{Label: fmt.Sprint("rig-", i), Zone: "east", PublicAddr: started.addrs[i], PeerListen: peers[i],
			Siblings: []config.Sibling{{Label: fmt.Sprint("rig-", 1-i), Endpoint: peers[1-i]}},
			Services: config.Services{Cloud: strings.TrimPrefix(cloud.URL, "http://"), State: strings.TrimPrefix(state.URL, "http://")},
			Cluster: config.Cluster{Size: 2, Zones: []string{"east"}, Teams: []config.Team{{Name: "desk", CPUs: 4, CPUsMax: 8}},
				Workers: config.Workers{ReportS: 1, LeaseS: 20, GangWaitS: 10, GangPeerS: 5, CancelS: 30},
				State:   config.State{RPS: 500, WriteRPS: 200, ValueKB: 8, TxnOps: 16}, Cloud: config.Cloud{RPS: 5},
				Quota: config.Quota{CoreShare: 1, MemMB: 200, Sockets: 500}},
			Features: features}
		proc := newProcess(settings, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
		running.Add(1)
		go func() {
			defer running.Done()
			if err := proc.run(ctx); err != nil {
				t.Errorf("controller failed: %v", err)
			}
		}()
	}
	for i := range started.addrs {
		started.callUntil(t, i, "GET", "/up", "", 200)
	}
	return started
}

// call makes one request to controller i and returns the status, the body and the Retry-After
// header. If there is no response, it returns status 0 and the error text as body.
func (c *cluster) call(t *testing.T, i int, method, path, body string, header ...string) (int, string, string) {
	req, err := http.NewRequest(method, "http://"+c.addrs[i]+path, strings.NewReader(body))
	require.NoError(t, err)
	for k := 0; k+1 < len(header); k += 2 {
		req.Header.Set(header[k], header[k+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), ""
	}
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode, string(b), resp.Header.Get("Retry-After")
}

// callUntil repeats a request to controller i until the response has the wanted status, and returns
// its body.
func (c *cluster) callUntil(t *testing.T, i int, method, path, body string, want int, header ...string) string {
	deadline := time.Now().Add(testTimeout)
	for {
		status, text, _ := c.call(t, i, method, path, body, header...)
		if status == want {
			return text
		}
		if time.Now().After(deadline) {
			require.Failf(t, "response did not have the wanted status in time", "%s %s: want %d, last %d %s", method, path, want, status, text)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func submission(id string, cores float64) string {
	return fmt.Sprintf(`{"id":%q,"jobclass":"batch","crew":"desk","shape":"batch","rank":"normal","loads":2,"cores":%v,
"accelerators":0,"mem_gb":1,"kit":"i","size_gb":1,"together":false,"apart":false,"loaners":false,"runtime_s":5,"savepoint_s":0,"stash_s":0}`, id, cores)
}

// TestUsersAndWorkers runs a job through both controllers. The job is accepted, and its tasks are
// launched by commands in heartbeat responses. Once the job is done, both controllers report it as
// done.
func TestUsersAndWorkers(t *testing.T) {
	c := startCluster(t, "")
	for body, want := range map[string]int{"nonsense": 400, "[]": 400, `{"id":"wk-1"}`: 400, submission("wk-1", 5): 422,
		strings.Replace(submission("wk-1", 1), `"desk"`, `"nobody"`, 1): 422, strings.Repeat("x", wire.MaxBody+1): 413} {
		c.callUntil(t, 0, "POST", "/work", body, want)
	}
	c.callUntil(t, 1, "GET", "/work/wk-1", "", 404)
	c.callUntil(t, 1, "POST", "/work/wk-1/cancel", "", 404)
	c.callUntil(t, 0, "POST", "/work", submission("wk-1", 1), 201)
	for i := range c.addrs {
		c.callUntil(t, i, "POST", "/work", submission("wk-1", 1), 200)
	}

	// A worker sends heartbeats and executes commands. Each launched task exits at once.
	done := map[wire.TaskID]wire.TaskStatus{}
	heartbeat := wire.Heartbeat{Machine: "m-1", Addr: freeAddr(t), Type: "c4", Zone: "east", AgentEpoch: 1}
	deadline := time.Now().Add(testTimeout)
	for status := ""; status != string(wire.StatusDone); {
		require.True(t, time.Now().Before(deadline), "the job was not done in time")
		heartbeat.Sequence++
		heartbeat.Tasks = nil
		for _, taskStatus := range done {
			heartbeat.Tasks = append(heartbeat.Tasks, taskStatus)
		}
		body, err := json.Marshal(heartbeat)
		require.NoError(t, err)
		if code, text, _ := c.call(t, 0, "POST", "/hello", string(body)); code == 200 {
			var response wire.HeartbeatResponse
			require.NoError(t, json.Unmarshal([]byte(text), &response))
			heartbeat.Token = max(heartbeat.Token, response.Token)
			for _, command := range response.Commands {
				if command.Verb == wire.VerbLaunch {
					done[command.Task] = wire.TaskStatus{Task: command.Task, Attempt: command.Attempt, State: wire.TaskExited, Cause: wire.CauseDone}
				}
			}
		}
		var job wire.JobStatus
		require.NoError(t, json.Unmarshal([]byte(c.callUntil(t, 1, "GET", "/work/wk-1", "", 200)), &job))
		status = string(job.Status)
		time.Sleep(20 * time.Millisecond)
	}
	require.Contains(t, c.callUntil(t, 0, "POST", "/work/wk-1/cancel", "", 200), `"done"`)
	require.Contains(t, c.callUntil(t, 1, "POST", "/work", submission("wk-1", 1), 200), `"done"`)

	// While the state store is down, requests for known completions are answered, and other requests
	// are refused at once with the time to retry after.
	c.state.Unavailable.Store(true)
	c.callUntil(t, 0, "POST", "/work", submission("wk-2", 1), 503)
	_, _, retry := c.call(t, 0, "POST", "/work", submission("wk-2", 1))
	require.NotEmpty(t, retry)
	require.Contains(t, c.callUntil(t, 0, "GET", "/work/wk-1", "", 200), `"done"`)
	c.state.Unavailable.Store(false)
	c.callUntil(t, 0, "POST", "/work", submission("wk-2", 1), 201)
	require.Contains(t, c.callUntil(t, 1, "POST", "/work/wk-2/cancel", "", 200), `"withdrawn"`)
	require.Contains(t, c.callUntil(t, 0, "GET", "/work/wk-2", "", 200), `"withdrawn"`)
}

// TestAdministration reads and changes settings through the API and the command line. A change
// applies on the other controller too.
func TestAdministration(t *testing.T) {
	c := startCluster(t, "secret")
	path := admin.Prefix + "/settings"
	c.callUntil(t, 0, "GET", path, "", 401)
	c.callUntil(t, 0, "GET", path, "", 401, "Authorization", "Bearer wrong")
	auth := []string{"Authorization", "Bearer secret"}
	for _, v := range wire.AdminViews {
		c.callUntil(t, 0, "GET", admin.Prefix+"/"+string(v), "", 200, auth...)
	}
	c.callUntil(t, 0, "GET", admin.Prefix+"/weather", "", 404, auth...)
	require.Contains(t, c.callUntil(t, 0, "PATCH", path, `{"version":0,"settings":{"spare_share":-1}}`, 400, auth...), "spare_share")
	c.callUntil(t, 0, "PATCH", path, `[]`, 400, auth...)
	c.callUntil(t, 0, "PATCH", path, `{"version":0,"settings":{"spare_share":0.5}}`, 200, auth...)
	c.callUntil(t, 0, "PATCH", path, `{"version":0,"settings":{"spare_share":0.7}}`, 409, auth...)
	require.Contains(t, c.callUntil(t, 1, "GET", path, "", 200, auth...), `"spare_share":0.5`)

	command := func(args ...string) (string, error) {
		var out bytes.Buffer
		root := rootCommand()
		root.SetOut(&out)
		root.SetArgs(args)
		err := root.Execute()
		return out.String(), err
	}
	out, err := command("admin", "set", "--addr", c.addrs[1], "affinity=enforced", "idle_s=20")
	require.NoError(t, err)
	require.Contains(t, out, `"affinity": "enforced"`)
	_, err = command("admin", "set", "--addr", c.addrs[1], "--version", "1", "idle_s=20")
	require.ErrorContains(t, err, "stale")
	_, err = command("admin", "set", "--addr", c.addrs[1], "idle_s=soon")
	require.ErrorContains(t, err, "idle_s")
	out, err = command("admin", "controllers", "--addr", c.addrs[0])
	require.NoError(t, err)
	require.Contains(t, out, "rig-1")
	c.state.Unavailable.Store(true)
	c.callUntil(t, 0, "GET", path, "", 503, auth...)
	c.callUntil(t, 0, "PATCH", path, `{"version":0,"settings":{}}`, 503, auth...)
}

// TestRolloutAdministration reads the rollout and activates a format through the API and the command
// line. An invalid request is refused with the name of the wrong field and changes nothing.
func TestRolloutAdministration(t *testing.T) {
	c := startCluster(t, "secret")
	path, auth := admin.Prefix+"/rollout", []string{"Authorization", "Bearer secret"}
	for body, field := range map[string]string{`[]`: "body", `{}`: "activate", `{"activate":"2"}`: "activate", `{"activate":-1}`: "activate",
		`{"activate":99}`: "activate", `{"activate":2,"exclude":"rig-1"}`: "activate", `{"exclude":"rig-9","reason":"x"}`: "exclude",
		`{"exclude":"rig-1"}`: "reason", `{"include":"rig-1"}`: "include", `{"include":"rig-1","reason":"x"}`: "reason", `{"colour":1}`: "colour"} {
		require.Contains(t, c.callUntil(t, 0, "PATCH", path, body, 400, auth...), field, body)
	}
	c.callUntil(t, 0, "PATCH", path, `{"version":7,"activate":2}`, 409, auth...)
	require.Contains(t, c.callUntil(t, 0, "PATCH", path, `{"exclude":"rig-1","reason":"x"}`, 409, auth...), "rig-1 is alive")
	require.Contains(t, c.callUntil(t, 0, "GET", path, "", 200, auth...), `"format":1`)
	command := func(args ...string) (string, error) { return c.runAdminCommand("rollout", args...) }
	out, err := command()
	require.NoError(t, err)
	require.Contains(t, out, `"ready": true`)
	_, err = command("activate", "soon")
	require.ErrorContains(t, err, "soon")
	_, err = command("exclude", "rig-1", "--reason", "x")
	require.ErrorContains(t, err, "alive")
	_, err = command("include", "rig-1")
	require.ErrorContains(t, err, "include")
	out, err = command("activate", "2")
	require.NoError(t, err)
	require.Contains(t, out, `"format": 2`)
	require.Contains(t, c.callUntil(t, 1, "GET", path, "", 200, auth...), `"format":2`)
	c.state.Unavailable.Store(true)
	c.callUntil(t, 0, "GET", path, "", 503, auth...)
}

// runAdminCommand runs a subcommand of admin against the first controller and returns its output.
func (c *cluster) runAdminCommand(name string, args ...string) (string, error) {
	var out bytes.Buffer
	root := rootCommand()
	root.SetOut(&out)
	root.SetArgs(append([]string{"admin", name}, append(args, "--addr", c.addrs[0])...))
	err := root.Execute()
	return out.String(), err
}

// TestShardsAdministration reads and moves shards and drains a controller through the API and the
// command line. An invalid request is refused with the cause and changes nothing.
func TestShardsAdministration(t *testing.T) {
	features := config.DefaultFeatures()
	features.Sharding.Enabled = true
	c := startClusterWithFeatures(t, "secret", features)
	path, auth := admin.Prefix+"/shares", []string{"Authorization", "Bearer secret"}
	require.Contains(t, c.callUntil(t, 0, "GET", path, "", 200, auth...), "dormant")
	_, err := c.runAdminCommand("shares", "move", "3", "rig-1")
	require.ErrorContains(t, err, "409: shares are dormant")
	_, err = c.runAdminCommand("rollout", "activate", "3")
	require.NoError(t, err)
	readShards := func() (v wire.AdminShards) {
		out, err := c.runAdminCommand("shares")
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal([]byte(out), &v))
		return v
	}
	require.Eventually(t, func() bool {
		v := readShards()
		return v.Owned["rig-0"] > 0 && v.Owned["rig-1"] > 0 && v.Owned["rig-0"]+v.Owned["rig-1"] == 32
	}, testTimeout, 50*time.Millisecond)

	for body, why := range map[string]string{`[]`: "body", `{}`: "move", `{"move":3}`: "to", `{"to":"rig-1"}`: "move", `{"move":"3","to":"rig-1"}`: "move",
		`{"drain":"rig-1"}`: "reason", `{"drain":"rig-1","move":1,"to":"rig-0"}`: "exactly one", `{"end_drain":"rig-1","reason":"x"}`: "reason", `{"colour":1}`: "colour"} {
		require.Contains(t, c.callUntil(t, 0, "PATCH", path, body, 400, auth...), why, body)
	}
	for _, body := range []string{`{"move":32,"to":"rig-1"}`, `{"move":-1,"to":"rig-1"}`, `{"move":3,"to":"rig-9","epoch":1}`, `{"drain":"rig-9","reason":"x"}`} {
		require.Contains(t, c.callUntil(t, 0, "PATCH", path, body, 404, auth...), "no such", body)
	}
	require.Contains(t, c.callUntil(t, 0, "PATCH", path, `{"move":3,"to":"rig-1","epoch":99}`, 409, auth...), "stale epoch")
	require.Contains(t, c.callUntil(t, 0, "PATCH", path, `{"end_drain":"rig-1"}`, 409, auth...), "not drained")

	before := readShards().Shards[3]
	to := map[string]string{"rig-0": "rig-1", "rig-1": "rig-0"}[before.Owner]
	_, err = c.runAdminCommand("shares", "move", "3", to)
	require.NoError(t, err)
	require.Eventually(t, func() bool { now := readShards().Shards[3]; return now.Owner == to && now.Epoch == before.Epoch+1 }, testTimeout, 50*time.Millisecond)
	_, err = c.runAdminCommand("shares", "move", "3", before.Owner, "--epoch", fmt.Sprint(before.Epoch))
	require.ErrorContains(t, err, "stale epoch")

	_, err = c.runAdminCommand("shares", "drain", "rig-1", "--reason", "new disks")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return readShards().Owned["rig-0"] == 32 }, testTimeout, 50*time.Millisecond)
	_, err = c.runAdminCommand("shares", "move", "3", "rig-1")
	require.ErrorContains(t, err, "rig-1 is drained: new disks")
	_, err = c.runAdminCommand("shares", "drain", "rig-0", "--reason", "x")
	require.ErrorContains(t, err, "nobody else")
	_, err = c.runAdminCommand("shares", "end-drain", "rig-1")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return readShards().Owned["rig-1"] > 10 }, testTimeout, 50*time.Millisecond)
	c.state.Unavailable.Store(true)
	c.callUntil(t, 0, "PATCH", path, `{"move":3,"to":"rig-1","epoch":1}`, 503, auth...)
	status, _, retryAfter := c.call(t, 0, "GET", path, "", auth...)
	require.Equal(t, 503, status)
	require.NotEmpty(t, retryAfter)
}

// TestAdministrationWithoutToken checks that a controller without a token refuses requests to the
// API and names the variable that is not set.
func TestAdministrationWithoutToken(t *testing.T) {
	c := startCluster(t, "")
	require.Contains(t, c.callUntil(t, 0, "GET", admin.Prefix+"/teams", "", 403), admin.TokenVariable)
}
