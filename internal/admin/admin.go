// Package admin is the administration API: its routes, and the client for the command line.
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

// Prefix is the path of the API on the public listener.
const Prefix = "/admin/v1"

// TokenVariable is the environment variable that holds the bearer token.
const TokenVariable = "LILACRILL_ADMIN_TOKEN"

// Dispatch passes an input to the controller and answers with its reply.
type Dispatch func(c fiber.Ctx, makeInput func(controller.RequestID) controller.Input) error

// maxRequests is how many operators' requests are served at a time, so that they
// cannot crowd out users and workers.
const maxRequests = 2

// api answers the administration API.
type api struct {
	token    string
	slots    chan struct{} // one for each request in progress
	dispatch Dispatch
}

// Register adds the API's routes. Without a token the API is off.
func Register(app *fiber.App, token string, dispatch Dispatch) {
	a := &api{token: token, slots: make(chan struct{}, maxRequests), dispatch: dispatch}
	group := app.Group(Prefix, a.authorize, a.limitRequests)
	group.Patch("/"+string(wire.ViewSettings), a.changeSettings)
	group.Patch("/"+string(wire.ViewRollout), a.changeRollout)
	group.Patch("/"+string(wire.ViewShards), a.changeShards)
	group.Get("/:view", a.readView)
}

// authorize lets only requests with the token through.
func (a *api) authorize(c fiber.Ctx) error {
	if a.token == "" {
		return sendError(c, http.StatusForbidden, "the administration API is off: "+TokenVariable+" is not set for this controller")
	}
	given, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || !equalTokens(given, a.token) {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return sendError(c, http.StatusUnauthorized, "no bearer token, or a wrong one")
	}
	return c.Next()
}

// limitRequests refuses a request while as many as may be are in progress.
func (a *api) limitRequests(c fiber.Ctx) error {
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
		return c.Next()
	default:
		c.Set(fiber.HeaderRetryAfter, "1")
		return sendError(c, http.StatusServiceUnavailable, "too many administration requests at once")
	}
}

func (a *api) changeSettings(c fiber.Ctx) error {
	var change wire.AdminSettings
	if err := json.Unmarshal(c.Body(), &change); err != nil {
		return sendError(c, http.StatusBadRequest, `body: want {"version": NUMBER, "settings": {...}}`)
	}
	return a.dispatch(c, func(id controller.RequestID) controller.Input {
		return controller.SettingsChangeRequested{Request: id, Change: change}
	})
}

func (a *api) changeRollout(c fiber.Ctx) error {
	change, err := wire.ParseAdminRolloutChange(c.Body())
	if err != nil {
		return sendError(c, http.StatusBadRequest, err.Error())
	}
	return a.dispatch(c, func(id controller.RequestID) controller.Input {
		return controller.RolloutChangeRequested{Request: id, Change: change}
	})
}

func (a *api) changeShards(c fiber.Ctx) error {
	change, err := wire.ParseAdminShardChange(c.Body())
	if err != nil {
		return sendError(c, http.StatusBadRequest, err.Error())
	}
	return a.dispatch(c, func(id controller.RequestID) controller.Input {
		return controller.ShardChangeRequested{Request: id, Change: change}
	})
}

// readView reads a view. The controller refuses those that it does not know.
func (a *api) readView(c fiber.Ctx) error {
	// Copied, since the parameter's memory is reused after the request.
	view := wire.AdminView([]byte(c.Params("view")))
	return a.dispatch(c, func(id controller.RequestID) controller.Input {
		return controller.ViewRequested{Request: id, View: view}
	})
}

// equalTokens compares in a time that does not tell how much of a guess was right.
func equalTokens(a, b string) bool {
	digestA, digestB := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(digestA[:], digestB[:]) == 1
}

func sendError(c fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(wire.ErrorResponse{Error: reason})
}
