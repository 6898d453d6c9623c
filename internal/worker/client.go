// Package worker makes the controller's direct calls to workers: commands, and requests for
// a heartbeat. A worker's own heartbeats arrive at the server of requests instead.
package worker

import (
	"container/list"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/internal/httpcall"
	"lilacrill/wire"
)

const (
	commandPath    = "/do"
	commandTimeout = 2 * time.Second
	probePath      = "/show"
	probeTimeout   = 800 * time.Millisecond

	idleTimeout             = 20 * time.Second // of a connection
	maxConnectionsPerWorker = 2
)

// Client makes calls to workers, over connections that it keeps for a while.
type Client struct {
	log            *slog.Logger
	maxConnections int // that may be open, idle ones among them

	mu       sync.Mutex
	workers  map[string]*list.Element // by address, of *connection
	recent   list.List                // the same; the one used last first
	inFlight int                      // calls under way
}

// connection is the HTTP client of one worker.
type connection struct {
	addr     string
	client   *httpcall.Client
	inFlight int // calls under way
}

// New makes a client that holds about maxConnections connections at most. The controller
// bounds how many calls are under way; what is left of the connections is for idle ones, of
// which those that were used longest ago are closed.
func New(log *slog.Logger, maxConnections int) *Client {
	return &Client{log: log, maxConnections: maxConnections, workers: map[string]*list.Element{}}
}

// acquire is the connection to a worker for one call; release ends that.
func (c *Client) acquire(addr string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.workers[addr]
	if element == nil {
		element = c.recent.PushFront(&connection{addr: addr, client: httpcall.New(addr, maxConnectionsPerWorker, idleTimeout)})
		c.workers[addr] = element
	} else {
		c.recent.MoveToFront(element)
	}
	conn := element.Value.(*connection)
	conn.inFlight++
	c.inFlight++
	c.closeLeastRecent()
	return conn
}

// closeLeastRecent closes idle connections, those used longest ago first, until there is room
// for the calls under way: each worker that was called lately may hold a connection.
func (c *Client) closeLeastRecent() {
	for element := c.recent.Back(); element != nil && len(c.workers) > c.maxConnections-c.inFlight; {
		conn, next := element.Value.(*connection), element.Prev()
		if conn.inFlight == 0 {
			conn.client.Close()
			c.recent.Remove(element)
			delete(c.workers, conn.addr)
		}
		element = next
	}
}

func (c *Client) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.inFlight--
	c.inFlight--
}

// SendCommands sends commands to a worker, and calls then from another goroutine with the
// response.
func (c *Client) SendCommands(addr string, request wire.CommandRequest, then func(controller.WorkerResponse)) {
	go func() { then(c.call(addr, http.MethodPost, commandPath, request, commandTimeout)) }()
}

// RequestHeartbeat asks a worker for a heartbeat, and calls then from another goroutine with
// the response.
func (c *Client) RequestHeartbeat(addr string, then func(controller.WorkerResponse)) {
	go func() { then(c.call(addr, http.MethodGet, probePath, nil, probeTimeout)) }()
}

// call makes one call. A worker answers with a heartbeat, whether it obeyed (200) or refused
// since it knows a higher token or has another agent epoch (409).
func (c *Client) call(addr, method, path string, body any, timeout time.Duration) controller.WorkerResponse {
	conn := c.acquire(addr)
	defer c.release(conn)
	var heartbeat wire.Heartbeat
	status, err := conn.client.Call(method, path, body, timeout, httpcall.Destinations{http.StatusOK: &heartbeat, http.StatusConflict: &heartbeat})
	if err != nil {
		c.log.Debug("worker call failed", "addr", addr, "path", path, "err", err)
		return controller.WorkerResponse{Outcome: controller.Unknown}
	}
	response := controller.WorkerResponse{Outcome: controller.NotExecuted}
	switch status {
	case http.StatusOK:
		response.Outcome, response.Executed = controller.Succeeded, true
	case http.StatusConflict:
	default:
		return response
	}
	if err := heartbeat.Check(); err != nil {
		c.log.Warn("invalid heartbeat dropped", "addr", addr, "err", err)
		return response
	}
	response.Heartbeat = &heartbeat
	return response
}
