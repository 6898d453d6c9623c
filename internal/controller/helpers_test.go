package controller

import (
	"log/slog"

	"lilacrill/internal/config"
)

// newTestController makes a controller that logs nothing, with the same random numbers every
// time.
func newTestController(settings *config.Settings) *Controller {
	return New(settings, slog.New(slog.DiscardHandler), 1)
}
