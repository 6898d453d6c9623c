// Package admin is the administration API: its routes, and the client that the
// command line uses.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gofiber/fiber/v3"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// Prefix is where the API stands on the public listener.
const Prefix = "/admin/v1"

// TokenVariable is the environment variable that holds the bearer token.
const TokenVariable = "LILACRILL_ADMIN_TOKEN"

// Asker passes an input to the core and writes its reply as the answer.
type Asker func(c fiber.Ctx, makeInput func(controller.RequestID) controller.Input) error

// atOnce is how many operators' requests are served at a time, so that they
// cannot crowd out users and workers.
const atOnce = 2

// Register adds the API's routes. Without a token the API is off.
func Register(app *fiber.App, token string, ask Asker) {
	slots := make(chan struct{}, atOnce)
	group := app.Group(Prefix, func(c fiber.Ctx) error {
		if token == "" {
			return refuse(c, http.StatusForbidden, "the administration API is off: "+TokenVariable+" is not set for this controller")
		}
		given, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
		if !ok || !same(given, token) {
			c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
			return refuse(c, http.StatusUnauthorized, "no bearer token, or a wrong one")
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			return c.Next()
		default:
			c.Set(fiber.HeaderRetryAfter, "1")
			return refuse(c, http.StatusServiceUnavailable, "too many administration requests at once")
		}
	})
	group.Patch("/"+string(wire.ViewSettings), func(c fiber.Ctx) error {
		var change wire.AdminSettings
		if err := json.Unmarshal(c.Body(), &change); err != nil {
			return refuse(c, http.StatusBadRequest, `body: want {"version": NUMBER, "settings": {...}}`)
		}
		return ask(c, func(r controller.RequestID) controller.Input {
			return controller.SettingsChangeRequested{Request: r, Change: change}
		})
	})
	group.Patch("/"+string(wire.ViewRollout), func(c fiber.Ctx) error {
		change, err := wire.ParseAdminRolloutChange(c.Body())
		if err != nil {
			return refuse(c, http.StatusBadRequest, err.Error())
		}
		return ask(c, func(r controller.RequestID) controller.Input {
			return controller.RolloutChangeRequested{Request: r, Change: change}
		})
	})
	group.Patch("/"+string(wire.ViewShards), func(c fiber.Ctx) error {
		change, err := wire.ParseAdminShardChange(c.Body())
		if err != nil {
			return refuse(c, http.StatusBadRequest, err.Error())
		}
		return ask(c, func(r controller.RequestID) controller.Input {
			return controller.ShardChangeRequested{Request: r, Change: change}
		})
	})
	group.Get("/:view", func(c fiber.Ctx) error {
		view := wire.AdminView([]byte(c.Params("view")))
		return ask(c, func(r controller.RequestID) controller.Input { return controller.ViewRequested{Request: r, View: view} })
	})
}

// same compares without telling by its time how much of a guess was right.
func same(a, b string) bool {
	ha, hb := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(ha[:], hb[:]) == 1
}

func refuse(c fiber.Ctx, status int, why string) error {
	return c.Status(status).JSON(wire.ErrorResponse{Error: why})
}
