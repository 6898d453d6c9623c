package controller

import (
	"log/slog"

	"lilacrill/internal/config"
)

// newTestController returns a controller that logs nothing and uses a fixed random seed.
func newTestController(settings *config.Settings) *Controller {
	return New(settings, slog.New(slog.DiscardHandler), 1)
}
