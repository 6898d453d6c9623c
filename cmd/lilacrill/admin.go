package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/spf13/cobra"

	"lilacrill/internal/admin"
	"lilacrill/wire"
)

// viewCommand describes a subcommand that prints one view of the administration API.
type viewCommand struct {
	view    wire.AdminView
	name    string
	aliases []string
	short   string
}

// viewCommands lists the subcommands, one for each view.
var viewCommands = []viewCommand{
	{view: wire.ViewControllers, name: "controllers", short: "List the controllers"},
	{view: wire.ViewTeams, name: "teams", short: "List the teams with their usage, guarantee and limit"},
	{view: wire.ViewMachines, name: "machines", short: "List the machines"},
	{view: wire.ViewJobs, name: "jobs", short: "List the unfinished jobs, and why their tasks are pending"},
	{view: wire.ViewSettings, name: "settings", short: "Read the operators' settings and their version"},
	{view: wire.ViewMetrics, name: "metrics", short: "Read counters and latencies"},
	{view: wire.ViewRollout, name: "rollout", short: "Show which format of records is in force, and what blocks the next one"},
	// The alias "shares", which is also the name in the API's path, is used by operators' scripts.
	{view: wire.ViewShards, name: "shards", aliases: []string{"shares"},
		short: "Show which controller owns which shard of the machines, and the moves under way"},
}

// adminCommand returns the command whose subcommands call the administration API.
func adminCommand() *cobra.Command {
	var target adminTarget
	cmd := &cobra.Command{
		Use:   "admin",
		Short: "Inspect a running controller, and read or change the operators' settings",
		Long: `The admin commands call the administration API of a running controller. They
authenticate with the token in the environment variable
` + admin.TokenVariable + `. The controller must have been started with the same
token; without a token, its API is disabled.`,
		Example: `  lilacrill admin machines --addr 10.0.0.1:8080
  lilacrill admin set --addr 10.0.0.1:8080 spare_share=0.2 affinity=enforced`,
	}
	cmd.PersistentFlags().StringVar(&target.addr, "addr", "", "the `ADDRESS` (IPv4 and port) of a controller's public listener")
	for _, view := range viewCommands {
		viewCmd := view.command(&target)
		switch view.view {
		case wire.ViewRollout:
			viewCmd.AddCommand(rolloutCommands(&target)...)
		case wire.ViewShards:
			viewCmd.AddCommand(shardCommands(&target)...)
		}
		cmd.AddCommand(viewCmd)
	}
	cmd.AddCommand(setCommand(&target))
	return cmd
}

// command returns the subcommand that prints the view.
func (v viewCommand) command(target *adminTarget) *cobra.Command {
	return &cobra.Command{
		Use:     v.name,
		Aliases: v.aliases,
		Short:   v.short,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return target.call(cmd, func(client *admin.Client) (json.RawMessage, error) { return client.View(v.view) })
		},
	}
}

// adminTarget identifies the controller that the admin commands call.
type adminTarget struct {
	addr string // from --addr
}

// newClient returns a client for the controller that uses the token from the environment.
func (t *adminTarget) newClient() (*admin.Client, error) {
	if _, err := netip.ParseAddrPort(t.addr); err != nil {
		return nil, errors.New("--addr: want an IPv4 address with a port, as in 10.0.0.1:8080")
	}
	token := os.Getenv(admin.TokenVariable)
	if token == "" {
		return nil, errors.New(admin.TokenVariable + " is not set: it holds the token that the controller was started with")
	}
	return admin.NewClient(t.addr, token), nil
}

// call passes a client for the controller to makeCalls and prints the answer that makeCalls
// returns.
func (t *adminTarget) call(cmd *cobra.Command, makeCalls func(*admin.Client) (json.RawMessage, error)) error {
	client, err := t.newClient()
	if err != nil {
		return err
	}
	answer, err := makeCalls(client)
	if err != nil {
		return err
	}
	return printIndented(cmd.OutOrStdout(), answer)
}

// decodeView reads a view from the controller and decodes it.
func decodeView[T any](client *admin.Client, view wire.AdminView) (T, error) {
	var decoded T
	answer, err := client.View(view)
	if err != nil {
		return decoded, err
	}
	if err := json.Unmarshal(answer, &decoded); err != nil {
		return decoded, fmt.Errorf("cannot decode the controller's response: %w", err)
	}
	return decoded, nil
}

// versionFlag holds the value of the flag --version, the version that a change is based on.
// The controller refuses the change if the current version differs.
type versionFlag struct {
	version uint64
}

const versionFlagName = "version"

// add adds the flag to a command, with a usage text.
func (f *versionFlag) add(cmd *cobra.Command, usage string) {
	cmd.Flags().Uint64Var(&f.version, versionFlagName, 0, usage)
}

// resolve returns the value of the flag. If the flag is not given, it reads the current version
// from a view.
func (f *versionFlag) resolve(cmd *cobra.Command, client *admin.Client, view wire.AdminView) (wire.Revision, error) {
	if cmd.Flags().Changed(versionFlagName) {
		return wire.Revision(f.version), nil
	}
	current, err := decodeView[struct {
		Version wire.Revision `json:"version"`
	}](client, view)
	return current.Version, err
}

// printIndented prints an answer as indented JSON.
func printIndented(w io.Writer, answer json.RawMessage) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, answer, "", "  "); err != nil {
		return fmt.Errorf("the controller's response is not valid JSON: %w", err)
	}
	_, err := fmt.Fprintln(w, indented.String())
	return err
}
