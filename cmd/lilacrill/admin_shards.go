package main

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"lilacrill/internal/admin"
	"lilacrill/wire"
)

// shardCommands returns the subcommands that move shards and drain controllers.
func shardCommands(target *adminTarget) []*cobra.Command {
	return []*cobra.Command{moveCommand(target), drainCommand(target), endDrainCommand(target)}
}

// moveCommand returns the command that moves a shard to another controller.
func moveCommand(target *adminTarget) *cobra.Command {
	const epochFlag = "epoch"
	var epoch uint64
	cmd := &cobra.Command{
		Use:   "move SHARD CONTROLLER",
		Short: "Have a shard's owner hand it over to another controller",
		Long: `Proposes a move. The owner releases the shard once it has no placement under way
there, and the named controller then adopts the shard. Running tasks are not
affected. Without --epoch, the current epoch is read first. With --epoch, the move is
refused if the shard has changed owners since that epoch.`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			number, err := strconv.Atoi(args[0])
			if err != nil {
				return fmt.Errorf("%q: want the number of a shard", args[0])
			}
			id := wire.ShardID(number)
			change := wire.AdminShardChange{Move: &id, To: args[1], Epoch: wire.ShardEpoch(epoch)}
			return target.call(cmd, func(client *admin.Client) (json.RawMessage, error) {
				if !cmd.Flags().Changed(epochFlag) {
					if change.Epoch, err = currentEpoch(client, id); err != nil {
						return nil, err
					}
				}
				return client.ChangeShards(change)
			})
		},
	}
	cmd.Flags().Uint64Var(&epoch, epochFlag, 0, "the `EPOCH` of the shard that the move is based on; by default the current one")
	return cmd
}

// drainCommand returns the command that makes a controller hand over all its shards.
func drainCommand(target *adminTarget) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   "drain CONTROLLER --reason TEXT",
		Short: "Have a controller hand over all its shards and receive no others",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return target.changeShards(cmd, wire.AdminShardChange{Drain: args[0], Reason: reason})
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "why the controller is drained")
	return cmd
}

// endDrainCommand returns the command that ends a drain.
func endDrainCommand(target *adminTarget) *cobra.Command {
	return &cobra.Command{
		Use:   "end-drain CONTROLLER",
		Short: "Let a drained controller own shards again",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return target.changeShards(cmd, wire.AdminShardChange{EndDrain: args[0]})
		},
	}
}

// changeShards sends a change of the shards to the controller and prints the answer.
func (t *adminTarget) changeShards(cmd *cobra.Command, change wire.AdminShardChange) error {
	return t.call(cmd, func(client *admin.Client) (json.RawMessage, error) { return client.ChangeShards(change) })
}

// currentEpoch reads the epoch of a shard from the controller. It returns 0 if there is no such
// shard, which the controller then reports when it refuses the change.
func currentEpoch(client *admin.Client, id wire.ShardID) (wire.ShardEpoch, error) {
	shards, err := decodeView[wire.AdminShards](client, wire.ViewShards)
	if err != nil {
		return 0, err
	}
	for i := range shards.Shards {
		if shards.Shards[i].Shard == id {
			return shards.Shards[i].Epoch, nil
		}
	}
	return 0, nil
}
