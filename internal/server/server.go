// Package server is the public HTTP interface: users, workers and health
// checks.
package server

import (
	"encoding/json"
	"errors"
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

// Backend takes inputs for the core and hands back the replies.
type Backend interface {
	// Ask passes an input on; the reply comes on the channel. It returns false
	// if there is more to do already than can be done in time.
	Ask(makeInput func(controller.RequestID) controller.Input) (<-chan controller.Reply, bool)
	// Healthy reports whether the controller can take requests.
	Healthy() bool
}

// Server serves one listener.
type Server struct {
	app     *fiber.App
	backend Backend
	log     *slog.Logger
	open    atomic.Int64 // users' requests in progress
	most    int64
	budget  sockets.Budget
}

const (
	// patience is how long a request may take before its sender is told to come
	// back; the protocol lets users wait 2 s for a poll.
	patience    = 1800 * time.Millisecond
	idleTimeout = 2 * time.Minute
	readTimeout = 2 * time.Minute
	comeBack    = time.Second
)

// New makes a server. Without an administration token that API is off.
func New(set *config.Settings, backend Backend, adminToken string, log *slog.Logger) *Server {
	s := &Server{backend: backend, log: log, most: int64(max(16, set.Cluster.Quota.Sockets/4)), budget: sockets.Share(set)}
	s.app = fiber.New(fiber.Config{
		AppName:                 "lilacrill",
		BodyLimit:               wire.MaxBody,
		Concurrency:             s.budget.Inbound,
		IdleTimeout:             idleTimeout,
		ReadTimeout:             readTimeout,
		DisableDefaultDate:      true,
		ErrorHandler:            s.failed,
		DisableHeadAutoRegister: true,
	})
	s.app.Use("/work", s.admit)
	s.app.Post("/work", s.submit)
	s.app.Get("/work/:id", s.poll)
	s.app.Post("/work/:id/cancel", s.cancel)
	s.app.Get("/up", s.up)
	s.app.Post("/hello", s.handleReport)
	admin.Register(s.app, adminToken, s.ask)
	return s
}

// Serve answers until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	return s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
}

func (s *Server) failed(c fiber.Ctx, err error) error {
	status := http.StatusInternalServerError
	var e *fiber.Error
	if errors.As(err, &e) {
		status = e.Code
	}
	return problem(c, status, err.Error())
}

func problem(c fiber.Ctx, status int, why string) error {
	return c.Status(status).JSON(wire.ErrorResponse{Error: why})
}

func busy(c fiber.Ctx, why string) error {
	c.Set(fiber.HeaderRetryAfter, seconds(comeBack))
	return problem(c, http.StatusServiceUnavailable, why)
}

func seconds(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) }

// admit keeps users from crowding out workers and health checks. Once there are
// many connections, a user's is closed after the answer; one that comes again
// opens another, perhaps to a controller that has more room.
func (s *Server) admit(c fiber.Ctx) error {
	conns := int(s.app.Server().GetOpenConnectionsCount())
	if conns > s.budget.Crowded {
		c.RequestCtx().SetConnectionClose()
	}
	open := s.open.Add(1)
	defer s.open.Add(-1)
	if open > s.most || conns > s.budget.Full {
		return busy(c, "too many requests at once")
	}
	return c.Next()
}

// ask passes an input to the core and writes its reply.
func (s *Server) ask(c fiber.Ctx, makeInput func(controller.RequestID) controller.Input) error {
	replies, ok := s.backend.Ask(makeInput)
	if !ok {
		return busy(c, "too much to do")
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case r := <-replies:
		if r.RetryAfter > 0 {
			c.Set(fiber.HeaderRetryAfter, seconds(r.RetryAfter))
		}
		b, err := json.Marshal(r.Body)
		if err != nil {
			return err
		}
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Status(r.Status).Send(b)
	case <-timer.C:
		return busy(c, "no decision in time")
	}
}

func (s *Server) submit(c fiber.Ctx) error {
	spec, err := wire.ParseJob(c.Body())
	if err != nil {
		return problem(c, http.StatusBadRequest, err.Error())
	}
	return s.ask(c, func(r controller.RequestID) controller.Input { return controller.JobSubmitted{Request: r, Spec: spec} })
}

func (s *Server) poll(c fiber.Ctx) error {
	id, ok := jobID(c)
	if !ok {
		return problem(c, http.StatusNotFound, "no such job")
	}
	return s.ask(c, func(r controller.RequestID) controller.Input { return controller.JobPolled{Request: r, Job: id} })
}

func (s *Server) cancel(c fiber.Ctx) error {
	id, ok := jobID(c)
	if !ok {
		return problem(c, http.StatusNotFound, "no such job")
	}
	return s.ask(c, func(r controller.RequestID) controller.Input { return controller.CancelRequested{Request: r, Job: id} })
}

func jobID(c fiber.Ctx) (wire.JobID, bool) {
	// The parameter's memory is reused after the request.
	id := wire.JobID([]byte(c.Params("id")))
	return id, id.Valid()
}

func (s *Server) up(c fiber.Ctx) error {
	if !s.backend.Healthy() {
		return busy(c, "not ready")
	}
	return c.Status(http.StatusOK).JSON(struct {
		Status string `json:"status"`
	}{"up"})
}

func (s *Server) handleReport(c fiber.Ctx) error {
	r, err := wire.ParseHeartbeat(c.Body())
	if err != nil {
		s.log.Warn("worker's report dropped", "from", c.IP(), "err", err)
		return problem(c, http.StatusBadRequest, err.Error())
	}
	return s.ask(c, func(id controller.RequestID) controller.Input {
		return controller.HeartbeatReceived{Request: id, Heartbeat: r}
	})
}
