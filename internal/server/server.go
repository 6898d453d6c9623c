// Package server implements the public HTTP interface, for users, workers and health checks.
package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"lilacrill/internal/admin"
	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/sockets"
	"lilacrill/wire"
)

// Backend takes inputs for the controller and returns its replies.
type Backend interface {
	// Enqueue queues the input that makeInput makes for a new request. The returned channel
	// receives the only reply. Enqueue returns false if the queue is full, since the request
	// would not be answered in time.
	Enqueue(makeInput func(controller.RequestID) controller.Input) (<-chan controller.Reply, bool)
	// Healthy reports whether the controller can take requests.
	Healthy() bool
}

// Server answers the requests that arrive on one listener.
type Server struct {
	app             *fiber.App
	backend         Backend
	log             *slog.Logger
	userRequests    atomic.Int64 // in progress
	polls           pollCounters
	maxUserRequests int64
	budget          sockets.Budget
}

const (
	// requestTimeout is how long a request may take before its sender is told to retry. It is
	// less than the 2 s for which the protocol lets users wait for the response to a poll.
	requestTimeout = 1800 * time.Millisecond
	idleTimeout    = 2 * time.Minute
	readTimeout    = 2 * time.Minute
	// retryAfter is how long the sender of a refused request is told to wait before it retries.
	retryAfter = time.Second
	// minUserRequests and socketsPerUserRequest bound how many user requests may be in
	// progress. One is allowed for every socketsPerUserRequest sockets of the quota, but at
	// least minUserRequests.
	minUserRequests       = 16
	socketsPerUserRequest = 4
)

// New returns a server. If adminToken is empty, the administration API is off.
func New(settings *config.Settings, backend Backend, adminToken string, log *slog.Logger) *Server {
	s := &Server{
		backend:         backend,
		log:             log,
		maxUserRequests: int64(max(minUserRequests, settings.Cluster.Quota.Sockets/socketsPerUserRequest)),
		budget:          sockets.NewBudget(settings),
	}
	s.app = fiber.New(fiber.Config{
		AppName:                 "lilacrill",
		BodyLimit:               wire.MaxBody,
		Concurrency:             s.budget.Inbound,
		IdleTimeout:             idleTimeout,
		ReadTimeout:             readTimeout,
		DisableDefaultDate:      true,
		ErrorHandler:            s.handleError,
		DisableHeadAutoRegister: true,
	})
	s.app.Use("/work", s.limitUserRequests)
	s.app.Post("/work", s.submitJob)
	s.app.Get("/work/:id", s.pollJob)
	s.app.Post("/work/:id/cancel", s.cancelJob)
	s.app.Get("/up", s.reportHealth)
	s.app.Post("/hello", s.receiveHeartbeat)
	admin.Register(s.app, adminToken, s.dispatch)
	return s
}

// Serve answers requests until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	return s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

// handleError responds to a request that no handler has responded to, because its path is
// unknown, its body is too large or its handler returned an error.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	status := http.StatusInternalServerError
	var fiberErr *fiber.Error
	if errors.As(err, &fiberErr) {
		status = fiberErr.Code
	}
	return sendError(c, status, err.Error())
}

func sendError(c fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(wire.ErrorResponse{Error: reason})
}

// sendUnavailable refuses a request that its sender may repeat after retryAfter.
func sendUnavailable(c fiber.Ctx, reason string) error {
	c.Set(fiber.HeaderRetryAfter, formatRetryAfter(retryAfter))
	return sendError(c, http.StatusServiceUnavailable, reason)
}

// formatRetryAfter formats a duration for the Retry-After header, in whole seconds, rounded up.
func formatRetryAfter(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) }

// limitUserRequests keeps users from crowding out workers and health checks. While there are
// many connections, the connection of a user is closed after the response. For the next request
// the user opens another connection, possibly to a controller with fewer connections. While
// there are even more connections, users may hold only a part of those that are free. Users are
// refused above that part, and if too many of their requests are in progress.
func (s *Server) limitUserRequests(c fiber.Ctx) error {
	connections := s.openConnections()
	if connections > s.budget.CloseAfterReplyAbove {
		c.RequestCtx().SetConnectionClose()
	}
	inProgress := s.userRequests.Add(1)
	defer s.userRequests.Add(-1)
	switch {
	case int(inProgress) > s.budget.UserRequestLimit(connections, int(inProgress)):
		s.countRefusal(c, controller.RefusedForConnections)
	case inProgress > s.maxUserRequests:
		s.countRefusal(c, controller.RefusedForRequests)
	default:
		return c.Next()
	}
	return sendUnavailable(c, "too many requests at once")
}

// dispatch passes an input to the controller and responds with the controller's reply.
func (s *Server) dispatch(c fiber.Ctx, makeInput func(controller.RequestID) controller.Input) error {
	replies, ok := s.backend.Enqueue(makeInput)
	if !ok {
		s.countRefusal(c, controller.RefusedForQueue)
		return sendUnavailable(c, "too much to do")
	}
	timer := time.NewTimer(requestTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		s.countReply(c, reply.Status)
		return sendReply(c, reply)
	case <-timer.C:
		s.countRefusal(c, controller.RefusedForTime)
		return sendUnavailable(c, "no decision in time")
	}
}

func sendReply(c fiber.Ctx, reply controller.Reply) error {
	if reply.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, formatRetryAfter(reply.RetryAfter))
	}
	body, err := json.Marshal(reply.Body)
	if err != nil {
		return fmt.Errorf("encode reply: %w", err)
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(reply.Status).Send(body)
}

func (s *Server) submitJob(c fiber.Ctx) error {
	spec, err := wire.ParseJob(c.Body())
	if err != nil {
		return sendError(c, http.StatusBadRequest, err.Error())
	}
	return s.dispatch(c, func(id controller.RequestID) controller.Input {
		return controller.JobSubmitted{Request: id, Spec: spec}
	})
}

func (s *Server) pollJob(c fiber.Ctx) error {
	id, ok := jobID(c)
	if !ok {
		return sendError(c, http.StatusNotFound, "no such job")
	}
	return s.dispatch(c, func(request controller.RequestID) controller.Input {
		return controller.JobPolled{Request: request, Job: id}
	})
}

func (s *Server) cancelJob(c fiber.Ctx) error {
	id, ok := jobID(c)
	if !ok {
		return sendError(c, http.StatusNotFound, "no such job")
	}
	return s.dispatch(c, func(request controller.RequestID) controller.Input {
		return controller.CancelRequested{Request: request, Job: id}
	})
}

// jobID returns the job ID in the request's path, and whether it is valid.
func jobID(c fiber.Ctx) (wire.JobID, bool) {
	// The parameter is copied, since its memory is reused after the request.
	id := wire.JobID([]byte(c.Params("id")))
	return id, id.Valid()
}

// reportHealth answers a health check.
func (s *Server) reportHealth(c fiber.Ctx) error {
	if !s.backend.Healthy() {
		return sendUnavailable(c, "not ready")
	}
	return c.Status(http.StatusOK).JSON(struct {
		Status string `json:"status"`
	}{"up"})
}

func (s *Server) receiveHeartbeat(c fiber.Ctx) error {
	heartbeat, err := wire.ParseHeartbeat(c.Body())
	if err != nil {
		s.log.Warn("invalid heartbeat dropped", "from", c.IP(), "err", err)
		return sendError(c, http.StatusBadRequest, err.Error())
	}
	return s.dispatch(c, func(id controller.RequestID) controller.Input {
		return controller.HeartbeatReceived{Request: id, Heartbeat: heartbeat}
	})
}
