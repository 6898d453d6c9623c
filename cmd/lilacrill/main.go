// Command lilacrill is a cluster scheduler: it takes jobs from users, provisions
// machines from a cloud and has workers run the tasks.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// Exit statuses.
const (
	exitFailed = 1
	// exitFormatUnreadable is the status of a process that cannot read the format in force.
	// Restarting it does not help.
	exitFormatUnreadable = 3
)

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "lilacrill:", strings.ReplaceAll(err.Error(), "\n", " "))
	var unreadable *rollout.UnreadableError
	if errors.As(err, &unreadable) {
		os.Exit(exitFormatUnreadable)
	}
	os.Exit(exitFailed)
}

// rootCommand returns the command line. Without a subcommand it runs a controller.
func rootCommand() *cobra.Command {
	var files configFiles
	root := &cobra.Command{
		Use:   "lilacrill --config FILE",
		Short: "lilacrill schedules jobs onto machines that it provisions from a cloud",
		Long: `lilacrill is one controller of a cluster scheduler. It takes jobs from users,
provisions machines from a cloud, has workers run the tasks, and keeps its state in
a key-value store. Several controllers run side by side, each with a settings
file of its own. Any of them may stop at any time.

The exit status is 3 if the format of records in force is one that this process does
not read, and 1 after any other error.

The log goes to standard error. LOG_LEVEL is error, info (the default) or debug.`,
		Example: `  lilacrill --config /etc/lilacrill.toml     run a controller
  lilacrill check /etc/lilacrill.toml        only check its settings`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if files.settings == "" {
				return cmd.Help()
			}
			return run(cmd.Context(), files)
		},
	}
	root.Flags().StringVar(&files.settings, "config", "", "the settings `FILE` (TOML) of this controller")
	root.Flags().StringVar(&files.features, "features", "", "a features `FILE` (TOML), which enables features beyond the default")
	root.AddCommand(checkCommand(), versionCommand(), adminCommand())
	return root
}

// versionCommand returns the command that prints the release.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "lilacrill", release.Version)
			return err
		},
	}
}

// checkCommand returns the command that checks the files that a controller is started with.
func checkCommand() *cobra.Command {
	var files configFiles
	cmd := &cobra.Command{
		Use:   "check FILE [--features FILE]",
		Short: "Check a settings file, and optionally a features file, and report what is wrong",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			files.settings = args[0]
			return check(cmd.OutOrStdout(), files)
		},
	}
	cmd.Flags().StringVar(&files.features, "features", "", "a features `FILE` (TOML) to check as well")
	return cmd
}

// configFiles holds the paths of the files that a controller is started with.
type configFiles struct {
	settings string
	features string // "" for the default features
}

// check checks the files. It writes the warnings about the settings and a line for each file that
// is valid, and returns the first error.
func check(out io.Writer, files configFiles) error {
	settings, err := config.Load(files.settings)
	if err != nil {
		return err
	}
	for _, warning := range settings.Warnings() {
		if _, err := fmt.Fprintf(out, "%s: warning: %s\n", files.settings, warning); err != nil {
			return err
		}
	}
	if files.features != "" {
		if _, err := config.LoadFeatures(files.features); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s: features are good\n", files.features); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "%s: settings of controller %s are good: %d controllers, %d teams, %d zones\n",
		files.settings, settings.Label, settings.Cluster.Size, len(settings.Cluster.Teams), len(settings.Cluster.Zones))
	return err
}

// run runs a controller until a signal arrives or the controller shuts itself down.
func run(ctx context.Context, files configFiles) error {
	settings, err := loadFiles(files)
	if err != nil {
		return err
	}
	log, err := newLogger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log.Info("starting", "label", settings.Label, "zone", settings.Zone, "version", release.Version)
	for _, warning := range settings.Warnings() {
		log.Warn("setting is valid but may degrade service", "warning", warning)
	}
	tracer, err := openTracer(settings)
	if err != nil {
		return err
	}
	return errors.Join(newProcess(settings, log, tracer).run(ctx), tracer.Close())
}

// loadFiles reads and checks the files. It returns the settings with the features set.
func loadFiles(files configFiles) (*config.Settings, error) {
	settings, err := config.Load(files.settings)
	if err != nil {
		return nil, err
	}
	if files.features != "" {
		if settings.Features, err = config.LoadFeatures(files.features); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// openTracer opens the file that spans are written to. If the features name no file, it returns
// a nil tracer, which records nothing.
func openTracer(settings *config.Settings) (*tracing.Tracer, error) {
	file := settings.Features.Tracing.File
	if file == "" {
		return nil, nil
	}
	return tracing.Open(file, settings.Label)
}

// newLogger returns a logger that writes records of at least the given level to standard error.
// The level is "info" if empty.
func newLogger(level string) (*slog.Logger, error) {
	var minLevel slog.Level
	if level != "" {
		if err := minLevel.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", level)
		}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: minLevel})), nil
}
