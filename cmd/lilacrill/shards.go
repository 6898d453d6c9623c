package main

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"lilacrill/internal/admin"
	"lilacrill/wire"
)

// addShareCommands adds the subcommands that move shares and drain controllers.
func addShareCommands(parent *cobra.Command, client func() (*admin.Client, error)) {
	change := func(cmd *cobra.Command, c wire.AdminShardChange) error {
		return runChange(cmd, client, func(api *admin.Client) (json.RawMessage, error) {
			if c.Move != nil && !cmd.Flags().Changed("epoch") {
				var err error
				if c.Epoch, err = shareEpoch(api, *c.Move); err != nil {
					return nil, err
				}
			}
			return api.ChangeShares(c)
		})
	}
	var epoch uint64
	move := &cobra.Command{
		Use:   "move SHARE CONTROLLER",
		Short: "Have a share's owner hand it over to another controller",
		Long: `Proposes a move; the owner releases the share once no placement of its own is under
way there, and the controller named adopts it. Running tasks are not touched. Without
--epoch the present one is read first; with it, the move is refused if the share has
changed hands since.`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			n, err := strconv.Atoi(args[0])
			if err != nil {
				return fmt.Errorf("%q: want the number of a share", args[0])
			}
			id := wire.ShardID(n)
			return change(cmd, wire.AdminShardChange{Move: &id, To: args[1], Epoch: wire.ShardEpoch(epoch)})
		},
	}
	move.Flags().Uint64Var(&epoch, "epoch", 0, "the `EPOCH` that the move was decided in; by default the present one")
	var reason string
	drain := &cobra.Command{
		Use:   "drain CONTROLLER --reason TEXT",
		Short: "Have a controller hand over all its shares and get none",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return change(cmd, wire.AdminShardChange{Drain: args[0], Reason: reason})
		},
	}
	drain.Flags().StringVar(&reason, "reason", "", "why")
	endDrain := &cobra.Command{
		Use:   "end-drain CONTROLLER",
		Short: "Let a drained controller have shares again",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return change(cmd, wire.AdminShardChange{EndDrain: args[0]})
		},
	}
	parent.AddCommand(move, drain, endDrain)
}

// shareEpoch reads the present epoch of a share; 0 if there is no such share, which the
// controller then says.
func shareEpoch(api *admin.Client, id wire.ShardID) (wire.ShardEpoch, error) {
	answer, err := api.View(wire.ViewShards)
	if err != nil {
		return 0, err
	}
	var now wire.AdminShards
	if err := json.Unmarshal(answer, &now); err != nil {
		return 0, fmt.Errorf("answer not understood: %w", err)
	}
	for i := range now.Shards {
		if now.Shards[i].Shard == id {
			return now.Shards[i].Epoch, nil
		}
	}
	return 0, nil
}
