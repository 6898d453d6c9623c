package main

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"lilacrill/internal/admin"
	"lilacrill/wire"
)

// shardCommands are the subcommands that move shards and drain controllers.
func shardCommands(target *adminTarget) []*cobra.Command {
	return []*cobra.Command{moveCommand(target), drainCommand(target), endDrainCommand(target)}
}

// moveCommand has a shard handed over to another controller.
func moveCommand(target *adminTarget) *cobra.Command {
	const epochFlag = "epoch"
	var epoch uint64
	cmd := &cobra.Command{
		Use:   "move SHARD CONTROLLER",
		Short: "Have a shard's owner hand it over to another controller",
		Long: `Proposes a move; the owner releases the shard once no placement of its own is under
way there, and the controller named adopts it. Running tasks are not touched. Without
--epoch the present one is read first; with it, the move is refused if the shard has
changed owners since.`,
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
	cmd.Flags().Uint64Var(&epoch, epochFlag, 0, "the `EPOCH` that the move was decided in; by default the present one")
	return cmd
}

// drainCommand has a controller hand over all its shards.
func drainCommand(target *adminTarget) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   "drain CONTROLLER --reason TEXT",
		Short: "Have a controller hand over all its shards and get none",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return target.changeShards(cmd, wire.AdminShardChange{Drain: args[0], Reason: reason})
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "why")
	return cmd
}

// endDrainCommand ends a drain.
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

// changeShards asks for a change and prints the answer.
func (t *adminTarget) changeShards(cmd *cobra.Command, change wire.AdminShardChange) error {
	return t.call(cmd, func(client *admin.Client) (json.RawMessage, error) { return client.ChangeShards(change) })
}

// currentEpoch reads the epoch of a shard. It is 0 if there is no such shard: the
// controller refuses the change then, and says so.
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
