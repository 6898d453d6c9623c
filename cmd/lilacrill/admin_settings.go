package main

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"lilacrill/internal/admin"
	"lilacrill/wire"
)

// setCommand returns the command that changes operators' settings.
func setCommand(target *adminTarget) *cobra.Command {
	var version versionFlag
	cmd := &cobra.Command{
		Use:   "set NAME=VALUE...",
		Short: "Change operators' settings on all controllers",
		Long: `Changes the named settings. Without --version, the current version is read first.
With --version, the change is refused if the settings have changed since that version.`,
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
	version.add(cmd, "the `VERSION` of the settings that the change is based on; by default the current one")
	return cmd
}

// parseAssignments converts NAME=VALUE arguments to a JSON object. A value that is not valid
// JSON becomes a string.
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
