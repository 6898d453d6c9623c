// Package admin implements the routes of the administration API, and its client for the command
// line.
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

// Dispatch passes an input to the controller and responds with the controller's reply.
type Dispatch func(c fiber.Ctx, makeInput func(controller.RequestID) controller.Input) error

// maxRequests is how many administration requests are served at a time. The bound keeps operators
// from crowding out users and workers.
const maxRequests = 2

// api serves the administration API.
type api struct {
	token    string
	slots    chan struct{} // one for each request in progress
	dispatch Dispatch
}

// Register adds the API's routes. If token is empty, the API is off.
func Register(app *fiber.App, token string, dispatch Dispatch) {
	a := &api{token: token, slots: make(chan struct{}, maxRequests), dispatch: dispatch}
	group := app.Group(Prefix, a.authorize, a.limitRequests)
	group.Patch("/"+string(wire.ViewSettings), a.changeSettings)
	group.Patch("/"+string(wire.ViewRollout), a.changeRollout)
	group.Patch("/"+string(wire.ViewShards), a.changeShards)
	group.Get("/:view", a.readView)
}

// authorize refuses requests that do not carry the token.
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

// limitRequests refuses a request while maxRequests others are in progress.
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

// readView reads the view that the path names. The controller refuses unknown views.
func (a *api) readView(c fiber.Ctx) error {
	// The parameter is copied, since its memory is reused after the request.
	view := wire.AdminView([]byte(c.Params("view")))
	return a.dispatch(c, func(id controller.RequestID) controller.Input {
		return controller.ViewRequested{Request: id, View: view}
	})
}

// equalTokens compares two tokens in a time that does not reveal how much of a guess is right.
func equalTokens(a, b string) bool {
	digestA, digestB := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(digestA[:], digestB[:]) == 1
}

func sendError(c fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(wire.ErrorResponse{Error: reason})
}
