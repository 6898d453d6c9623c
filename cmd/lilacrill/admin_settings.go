package main

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"lilacrill/internal/admin"
	"lilacrill/wire"
)

// setCommand changes operators' settings.
func setCommand(target *adminTarget) *cobra.Command {
	var version versionFlag
	cmd := &cobra.Command{
		Use:   "set NAME=VALUE...",
		Short: "Change operators' settings on all controllers",
		Long: `Changes the settings named. Without --version it reads the present version
first; with it, the change is refused if somebody changed them since.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := parseAssignments(args)
			if err != nil {
				return err
			}
			return target.call(cmd, func(client *admin.Client) (json.RawMessage, error) {
				from, err := version.resolve(cmd, client, wire.ViewSettings)
				if err != nil {
					return nil, err
				}
				return client.ChangeSettings(wire.AdminSettings{Version: from, Settings: settings})
			})
		},
	}
	version.add(cmd, "the `VERSION` that the change was made from")
	return cmd
}

// parseAssignments makes a JSON object of NAME=VALUE arguments. A value that is not JSON
// becomes a string.
func parseAssignments(args []string) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%q: want NAME=VALUE", arg)
		}
		raw := json.RawMessage(value)
		if !json.Valid(raw) {
			quoted, err := json.Marshal(value)
			if err != nil {
				return nil, fmt.Errorf("%q: %w", arg, err)
			}
			raw = quoted
		}
		fields[name] = raw
	}
	return json.Marshal(fields)
}
