package main

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"lilacrill/internal/admin"
	"lilacrill/wire"
)

// rolloutCommands returns the subcommands that change a rollout.
func rolloutCommands(target *adminTarget) []*cobra.Command {
	return []*cobra.Command{activateCommand(target), excludeCommand(target), includeCommand(target)}
}

// activateCommand returns the command that brings a format into force.
func activateCommand(target *adminTarget) *cobra.Command {
	return rolloutCommand(target, &cobra.Command{
		Use:   "activate FORMAT",
		Short: "Bring a format into force that all controllers read; this cannot be undone",
	}, func(arg string) (wire.AdminRolloutChange, error) {
		number, err := strconv.Atoi(arg)
		if err != nil {
			return wire.AdminRolloutChange{}, fmt.Errorf("%q: want the number of a format", arg)
		}
		format := wire.Format(number)
		return wire.AdminRolloutChange{Activate: &format}, nil
	})
}

// excludeCommand returns the command that excludes a controller that is down, so that
// activations do not wait for it.
func excludeCommand(target *adminTarget) *cobra.Command {
	var reason string
	cmd := rolloutCommand(target, &cobra.Command{
		Use:   "exclude LABEL --reason TEXT",
		Short: "Exclude a controller that is down, so that an activation does not wait for it",
	}, func(label string) (wire.AdminRolloutChange, error) {
		return wire.AdminRolloutChange{Exclude: label, Reason: reason}, nil
	})
	cmd.Flags().StringVar(&reason, "reason", "", "why an activation need not wait for the controller")
	return cmd
}

// includeCommand returns the command that ends an exclusion.
func includeCommand(target *adminTarget) *cobra.Command {
	return rolloutCommand(target, &cobra.Command{
		Use:   "include LABEL",
		Short: "End the exclusion of a controller",
	}, func(label string) (wire.AdminRolloutChange, error) {
		return wire.AdminRolloutChange{Include: label}, nil
	})
}

// rolloutCommand completes a command that takes one argument and changes the rollout. The command
// sends the change that makeChange returns for the argument, with the version from --version.
func rolloutCommand(target *adminTarget, cmd *cobra.Command, makeChange func(arg string) (wire.AdminRolloutChange, error)) *cobra.Command {
	var version versionFlag
	cmd.Args = cobra.ExactArgs(1)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		change, err := makeChange(args[0])
		if err != nil {
			return err
		}
		return target.call(cmd, func(client *admin.Client) (json.RawMessage, error) {
			change.Version, err = version.resolve(cmd, client, wire.ViewRollout)
			if err != nil {
				return nil, err
			}
			return client.ChangeRollout(change)
		})
	}
	version.add(cmd, "the `VERSION` of the rollout that the change is based on; by default the current one")
	return cmd
}
