package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"lilacrill/internal/admin"
	"lilacrill/wire"
)

// adminCommand holds the subcommands that call the administration API.
func adminCommand() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "admin",
		Short: "Look at a running controller, and read or change the operators' settings",
		Long: `The admin commands call the administration API of a running controller. They
send the token in ` + admin.TokenVariable + `; the controller must have been
started with the same one, or its API is off.`,
		Example: `  lilacrill admin machines --addr 10.0.0.1:8080
  lilacrill admin set --addr 10.0.0.1:8080 spare_share=0.2 affinity=enforced`,
	}
	cmd.PersistentFlags().StringVar(&addr, "addr", "", "the `ADDRESS` (IPv4 and port) of a controller's public listener")
	client := func() (*admin.Client, error) {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, errors.New("--addr: want an IPv4 address with a port, as in 10.0.0.1:8080")
		}
		token := os.Getenv(admin.TokenVariable)
		if token == "" {
			return nil, errors.New(admin.TokenVariable + " is not set: it holds the token that the controller was started with")
		}
		return admin.NewClient(addr, token), nil
	}
	about := map[wire.AdminView]string{
		wire.ViewControllers: "List the controllers",
		wire.ViewTeams:       "List the teams with their usage, guarantee and limit",
		wire.ViewMachines:    "List the machines",
		wire.ViewJobs:        "List the jobs that are not over, and why tasks wait",
		wire.ViewSettings:    "Read the operators' settings and their version",
		wire.ViewMetrics:     "Read counters and latencies",
		wire.ViewShards:      "Show which controller owns which share of the machines, and what moves",
		wire.ViewRollout:     "Show which format of records is in force, and what the next one waits for",
	}
	views := map[wire.AdminView]*cobra.Command{}
	for _, v := range wire.AdminViews {
		views[v] = &cobra.Command{
			Use:   string(v),
			Short: about[v],
			Args:  cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				c, err := client()
				if err != nil {
					return err
				}
				answer, err := c.View(v)
				if err != nil {
					return err
				}
				return requestReport(cmd.OutOrStdout(), answer)
			},
		}
		cmd.AddCommand(views[v])
	}
	addRolloutCommands(views[wire.ViewRollout], client)
	addShareCommands(views[wire.ViewShards], client)
	var version uint64
	set := &cobra.Command{
		Use:   "set NAME=VALUE...",
		Short: "Change operators' settings on all controllers",
		Long: `Changes the settings named. Without --version it reads the present version
first; with it, the change is refused if somebody changed them since.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			changes, err := parseChanges(args)
			if err != nil {
				return err
			}
			c, err := client()
			if err != nil {
				return err
			}
			if !cmd.Flags().Changed("version") {
				answer, err := c.View(wire.ViewSettings)
				if err != nil {
					return err
				}
				var now wire.AdminSettings
				if err := json.Unmarshal(answer, &now); err != nil {
					return fmt.Errorf("answer not understood: %w", err)
				}
				version = uint64(now.Version)
			}
			answer, err := c.Change(wire.AdminSettings{Version: wire.Revision(version), Settings: changes})
			if err != nil {
				return err
			}
			return requestReport(cmd.OutOrStdout(), answer)
		},
	}
	set.Flags().Uint64Var(&version, "version", 0, "the `VERSION` that the change was made from")
	cmd.AddCommand(set)
	return cmd
}

// runChange has the administration API change something and prints the answer.
func runChange(cmd *cobra.Command, client func() (*admin.Client, error), change func(*admin.Client) (json.RawMessage, error)) error {
	api, err := client()
	if err != nil {
		return err
	}
	answer, err := change(api)
	if err != nil {
		return err
	}
	return requestReport(cmd.OutOrStdout(), answer)
}

// parseChanges makes a JSON object of NAME=VALUE; a value that is no JSON is
// taken as a word.
func parseChanges(args []string) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%q: want NAME=VALUE", arg)
		}
		raw := json.RawMessage(value)
		if !json.Valid(raw) {
			b, err := json.Marshal(value)
			if err != nil {
				return nil, err
			}
			raw = b
		}
		fields[name] = raw
	}
	return json.Marshal(fields)
}

func requestReport(w io.Writer, answer json.RawMessage) error {
	var b bytes.Buffer
	if err := json.Indent(&b, answer, "", "  "); err != nil {
		return fmt.Errorf("answer not understood: %w", err)
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}
