package main

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"lilacrill/internal/admin"
	"lilacrill/wire"
)

// rolloutCommands are the subcommands that change a rollout.
func rolloutCommands(target *adminTarget) []*cobra.Command {
	return []*cobra.Command{activateCommand(target), excludeCommand(target), includeCommand(target)}
}

// activateCommand brings a format into force.
func activateCommand(target *adminTarget) *cobra.Command {
	return rolloutCommand(target, &cobra.Command{
		Use:   "activate FORMAT",
		Short: "Bring a format into force, for good, once all controllers read it",
	}, func(arg string) (wire.AdminRolloutChange, error) {
		number, err := strconv.Atoi(arg)
		if err != nil {
			return wire.AdminRolloutChange{}, fmt.Errorf("%q: want the number of a format", arg)
		}
		format := wire.Format(number)
		return wire.AdminRolloutChange{Activate: &format}, nil
	})
}

// excludeCommand has activations not wait for a controller that is down.
func excludeCommand(target *adminTarget) *cobra.Command {
	var reason string
	cmd := rolloutCommand(target, &cobra.Command{
		Use:   "exclude LABEL --reason TEXT",
		Short: "Have an activation not wait for a controller that is down",
	}, func(label string) (wire.AdminRolloutChange, error) {
		return wire.AdminRolloutChange{Exclude: label, Reason: reason}, nil
	})
	cmd.Flags().StringVar(&reason, "reason", "", "why it need not be waited for")
	return cmd
}

// includeCommand ends an exclusion.
func includeCommand(target *adminTarget) *cobra.Command {
	return rolloutCommand(target, &cobra.Command{
		Use:   "include LABEL",
		Short: "Take an exclusion back",
	}, func(label string) (wire.AdminRolloutChange, error) {
		return wire.AdminRolloutChange{Include: label}, nil
	})
}

// rolloutCommand completes a command that makes a change of the rollout of its one
// argument: it runs the change against the version of --version.
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
	version.add(cmd, "the `VERSION` of the rollout that the change was made from; by default the present one")
	return cmd
}
