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

// viewCommand describes the subcommand that prints a view of the administration API.
type viewCommand struct {
	view    wire.AdminView
	name    string
	aliases []string
	short   string
}

// viewCommands has a subcommand for each view.
var viewCommands = []viewCommand{
	{view: wire.ViewControllers, name: "controllers", short: "List the controllers"},
	{view: wire.ViewTeams, name: "teams", short: "List the teams with their usage, guarantee and limit"},
	{view: wire.ViewMachines, name: "machines", short: "List the machines"},
	{view: wire.ViewJobs, name: "jobs", short: "List the jobs that are not over, and why tasks are pending"},
	{view: wire.ViewSettings, name: "settings", short: "Read the operators' settings and their version"},
	{view: wire.ViewMetrics, name: "metrics", short: "Read counters and latencies"},
	{view: wire.ViewRollout, name: "rollout", short: "Show which format of records is in force, and what blocks the next one"},
	// Operators' scripts say "shares", as the API's path does.
	{view: wire.ViewShards, name: "shards", aliases: []string{"shares"},
		short: "Show which controller owns which shard of the machines, and the moves under way"},
}

// adminCommand holds the subcommands that call the administration API.
func adminCommand() *cobra.Command {
	var target adminTarget
	cmd := &cobra.Command{
		Use:   "admin",
		Short: "Look at a running controller, and read or change the operators' settings",
		Long: `The admin commands call the administration API of a running controller. They
send the token in ` + admin.TokenVariable + `; the controller must have been
started with the same one, or its API is off.`,
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

// command makes the subcommand.
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

// adminTarget is the controller that the admin commands call.
type adminTarget struct {
	addr string // from --addr
}

// newClient makes a newClient of the controller, with the token of the environment.
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

// call runs calls to the controller and prints the answer that they return.
func (t *adminTarget) call(cmd *cobra.Command, calls func(*admin.Client) (json.RawMessage, error)) error {
	client, err := t.newClient()
	if err != nil {
		return err
	}
	answer, err := calls(client)
	if err != nil {
		return err
	}
	return printIndented(cmd.OutOrStdout(), answer)
}

// decodeView reads a view.
func decodeView[T any](client *admin.Client, view wire.AdminView) (T, error) {
	var decoded T
	answer, err := client.View(view)
	if err != nil {
		return decoded, err
	}
	if err := json.Unmarshal(answer, &decoded); err != nil {
		return decoded, fmt.Errorf("answer not understood: %w", err)
	}
	return decoded, nil
}

// versionFlag is the flag --version: the version that a change was made from. The
// controller refuses the change if the version is another one by then.
type versionFlag struct {
	version uint64
}

const versionFlagName = "version"

// add adds the flag to a command that changes what the usage text names.
func (f *versionFlag) add(cmd *cobra.Command, usage string) {
	cmd.Flags().Uint64Var(&f.version, versionFlagName, 0, usage)
}

// resolve returns the flag's value or, if the flag is not given, the present version of
// a view.
func (f *versionFlag) resolve(cmd *cobra.Command, client *admin.Client, view wire.AdminView) (wire.Revision, error) {
	if cmd.Flags().Changed(versionFlagName) {
		return wire.Revision(f.version), nil
	}
	present, err := decodeView[struct {
		Version wire.Revision `json:"version"`
	}](client, view)
	return present.Version, err
}

// printIndented prints an answer for people to read.
func printIndented(w io.Writer, answer json.RawMessage) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, answer, "", "  "); err != nil {
		return fmt.Errorf("answer not understood: %w", err)
	}
	_, err := fmt.Fprintln(w, indented.String())
	return err
}
