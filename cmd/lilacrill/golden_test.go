package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/admin"
	"lilacrill/internal/golden"
	"lilacrill/wire"
)

// adminAnswers returns an answer for each view, with all fields set.
func adminAnswers() map[wire.AdminView]any {
	answers := map[wire.AdminView]any{
		wire.ViewControllers: new([]wire.AdminController),
		wire.ViewTeams:       new([]wire.AdminTeam),
		wire.ViewMachines:    new([]wire.AdminMachine),
		wire.ViewJobs:        new([]wire.AdminJob),
		wire.ViewSettings:    new(wire.AdminSettings),
		wire.ViewMetrics:     new(wire.AdminMetrics),
		wire.ViewRollout:     new(wire.AdminRollout),
		wire.ViewShards:      new(wire.AdminShards),
	}
	for _, answer := range answers {
		filler := golden.NewFiller(2)
		filler.Fill(answer)
	}
	return answers
}

// encodeAnswers returns the encoded answers by method and path. A change (PATCH) is answered like
// the view at its path.
func encodeAnswers(t *testing.T, answers map[wire.AdminView]any) map[string]string {
	bodies := map[string]string{}
	for view, answer := range answers {
		body, err := json.Marshal(answer)
		require.NoError(t, err)
		for _, method := range []string{http.MethodGet, http.MethodPatch} {
			bodies[method+" "+admin.Prefix+"/"+string(view)] = string(body)
		}
	}
	return bodies
}

// TestGoldenAdminCommands runs every admin command and compares its requests and its output with a
// golden file.
func TestGoldenAdminCommands(t *testing.T) {
	t.Setenv(admin.TokenVariable, "secret")
	answers := adminAnswers()
	commands := map[string][]string{
		"set":                   {"set", "spare_share=0.2", "affinity=enforced"},
		"set-version":           {"set", "--version", "7", "idle_s=20"},
		"rollout-activate":      {"rollout", "activate", "3"},
		"rollout-exclude":       {"rollout", "exclude", "rig-2", "--reason", "its host burnt"},
		"rollout-include":       {"rollout", "include", "rig-2", "--version", "7"},
		"shares-move":           {"shares", "move", "4", "rig-1", "--epoch", "7"},
		"shares-move-any-epoch": {"shares", "move", firstShardNumber(answers), "rig-1"},
		"shares-drain":          {"shares", "drain", "rig-1", "--reason", "new disks"},
		"shares-end-drain":      {"shares", "end-drain", "rig-1"},
	}
	require.Len(t, answers, len(wire.AdminViews))
	require.Len(t, viewCommands, len(wire.AdminViews))
	for _, view := range wire.AdminViews {
		commands[string(view)] = []string{string(view)}
	}
	for name, args := range commands {
		t.Run(name, func(t *testing.T) {
			api := &golden.Recorder{Responses: encodeAnswers(t, answers)}
			server := httptest.NewServer(api)
			defer server.Close()
			addr := strings.TrimPrefix(server.URL, "http://")
			out := runRoot(t, append([]string{"admin", "--addr", addr}, args...)...)
			golden.Compare(t, "admin-"+name+".txt", []byte(string(api.Requests())+"\n"+out))
		})
	}
}

// TestShardsAlias checks that "shards" is the same command as its alias "shares", which operators'
// scripts use.
func TestShardsAlias(t *testing.T) {
	t.Setenv(admin.TokenVariable, "secret")
	api := &golden.Recorder{Responses: encodeAnswers(t, adminAnswers())}
	server := httptest.NewServer(api)
	t.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "http://")
	out := runRoot(t, "admin", "--addr", addr, "shards")
	golden.Compare(t, "admin-shares.txt", []byte(string(api.Requests())+"\n"+out))
}

// firstShardNumber returns the number of the first shard in the view of the shards.
func firstShardNumber(answers map[wire.AdminView]any) string {
	return fmt.Sprint(answers[wire.ViewShards].(*wire.AdminShards).Shards[0].Shard)
}

// TestGoldenCheck compares the output of the check command, including warnings, with a golden file.
func TestGoldenCheck(t *testing.T) {
	out := runRoot(t, "check", golden.Path("settings.toml"), "--features", golden.Path("features.toml"))
	golden.Compare(t, "check.txt", []byte(out))
}

// TestGoldenNames compares the path prefix of the administration API and the environment variable of
// its token with a golden file.
func TestGoldenNames(t *testing.T) {
	golden.Compare(t, "admin-names.txt", []byte(admin.Prefix+"\n"+admin.TokenVariable))
}

// runRoot runs the command line and returns what it prints.
func runRoot(t *testing.T, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	root := rootCommand()
	root.SetOut(&out)
	root.SetArgs(args)
	require.NoError(t, root.Execute())
	return out.String()
}
