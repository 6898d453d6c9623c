package server

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/gofiber/fiber/v3"

	"lilacrill/internal/controller"
)

// pollCounters counts polls by their outcome.
type pollCounters struct {
	answered   atomic.Uint64
	unanswered [controller.PollRefusals]atomic.Uint64
}

// Load returns the open connections and the polls that were answered and refused so far.
func (s *Server) Load() controller.ProcessLoad {
	load := controller.ProcessLoad{InboundConnections: s.openConnections()}
	load.Polls.Answered = s.polls.answered.Load()
	for reason := range s.polls.unanswered {
		load.Polls.Unanswered[reason] = s.polls.unanswered[reason].Load()
	}
	return load
}

func (s *Server) openConnections() int { return int(s.app.Server().GetOpenConnectionsCount()) }

// isPoll reports whether a request is a user's poll.
func isPoll(c fiber.Ctx) bool {
	return c.Method() == http.MethodGet && strings.HasPrefix(c.Path(), "/work/")
}

// countRefusal counts a refused request of a user, if it is a poll.
func (s *Server) countRefusal(c fiber.Ctx, reason controller.PollRefusal) {
	if isPoll(c) {
		s.polls.unanswered[reason].Add(1)
	}
}

// countReply counts the controller's reply to a request of a user, if the request is a poll.
func (s *Server) countReply(c fiber.Ctx, status int) {
	if status >= http.StatusInternalServerError {
		s.countRefusal(c, controller.RefusedByController)
		return
	}
	if isPoll(c) {
		s.polls.answered.Add(1)
	}
}
