// Command lilacrill is a cluster scheduler: it takes jobs from users, rents
// machines from a cloud and has workers run the tasks.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"lilacrill/internal/config"
	"lilacrill/internal/release"
	"lilacrill/internal/rollout"
	"lilacrill/internal/tracing"
)

// statusUnreadable is the exit status of a process that cannot read the format in force.
const statusUnreadable = 3

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "lilacrill:", strings.ReplaceAll(err.Error(), "\n", " "))
		var unreadable *rollout.UnreadableError
		if errors.As(err, &unreadable) {
			os.Exit(statusUnreadable)
		}
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	var path, features string
	root := &cobra.Command{
		Use:   "lilacrill --config FILE",
		Short: "lilacrill schedules jobs onto rented machines",
		Long: `lilacrill is one controller of a cluster scheduler. It takes jobs from users,
rents machines from a cloud, has workers run the tasks, and keeps its state in
a key-value service. Several controllers run side by side, each with a settings
file of its own; any of them may stop at any time.

The exit status is 3 if the service has moved on to a format of records that this
process does not read, and 1 after any other error.

The log goes to standard error. LOG_LEVEL is error, info (the default) or debug.`,
		Example: `  lilacrill --config /etc/lilacrill.toml     run a controller
  lilacrill check /etc/lilacrill.toml        only check its settings`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return cmd.Help()
			}
			return run(cmd.Context(), path, features)
		},
	}
	root.Flags().StringVar(&path, "config", "", "the settings `FILE` (TOML) of this controller")
	root.Flags().StringVar(&features, "features", "", "a features `FILE` (TOML): what is enabled beyond the ordinary")
	root.AddCommand(checkCommand(), &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "lilacrill", release.Version)
			return err
		},
	})
	root.AddCommand(adminCommand())
	return root
}

// checkCommand says what is wrong with the files that a controller is started with.
func checkCommand() *cobra.Command {
	var features string
	check := &cobra.Command{
		Use:   "check FILE [--features FILE]",
		Short: "Check a settings file, and a features file, and say what is wrong with them",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := config.Load(args[0])
			if err != nil {
				return err
			}
			for _, w := range s.Warnings() {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: warning: %s\n", args[0], w)
			}
			if features != "" {
				if _, err := config.LoadFeatures(features); err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: features are good\n", features)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of controller %s are good: %d controllers, %d teams, %d zones\n",
				args[0], s.Label, s.Cluster.Size, len(s.Cluster.Teams), len(s.Cluster.Zones))
			return err
		},
	}
	check.Flags().StringVar(&features, "features", "", "a features `FILE` (TOML) to check too")
	return check
}

func run(ctx context.Context, path, features string) error {
	set, err := config.Load(path)
	if err != nil {
		return err
	}
	if features != "" {
		if set.Features, err = config.LoadFeatures(features); err != nil {
			return err
		}
	}
	log, err := logger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.Info("starting", "label", set.Label, "zone", set.Zone, "version", release.Version)
	for _, w := range set.Warnings() {
		log.Warn("settings", "warning", w)
	}
	var tracer *tracing.Tracer
	if file := set.Features.Tracing.File; file != "" {
		if tracer, err = tracing.Open(file, set.Label); err != nil {
			return err
		}
	}
	return errors.Join(newEngine(set, log, tracer).run(ctx), tracer.Close())
}

// logger writes to standard error as much as level asks for.
func logger(level string) (*slog.Logger, error) {
	var l slog.Level
	if level != "" {
		if err := l.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", level)
		}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}
