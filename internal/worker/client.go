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
	lru      list.List                // the same; the one used last first
	inFlight int                      // calls under way
}

// workerClient is the HTTP client of one worker.
type workerClient struct {
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
func (c *Client) acquire(addr string) *workerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.workers[addr]
	if element == nil {
		element = c.lru.PushFront(&workerClient{addr: addr, client: httpcall.New(addr, maxConnectionsPerWorker, idleTimeout)})
		c.workers[addr] = element
	} else {
		c.lru.MoveToFront(element)
	}
	worker := element.Value.(*workerClient)
	worker.inFlight++
	c.inFlight++
	c.closeLeastRecentlyUsed()
	return worker
}

// closeLeastRecentlyUsed closes idle connections, those used longest ago first, until there is room
// for the calls under way: each worker that was called lately may hold a connection.
func (c *Client) closeLeastRecentlyUsed() {
	for element := c.lru.Back(); element != nil && len(c.workers) > c.maxConnections-c.inFlight; {
		worker, next := element.Value.(*workerClient), element.Prev()
		if worker.inFlight == 0 {
			worker.client.Close()
			c.lru.Remove(element)
			delete(c.workers, worker.addr)
		}
		element = next
	}
}

func (c *Client) release(worker *workerClient) {
	c.mu.Lock()
	defer c.mu.Unlock()
	worker.inFlight--
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
	worker := c.acquire(addr)
	defer c.release(worker)
	var heartbeat wire.Heartbeat
	status, err := worker.client.Call(method, path, body, timeout, httpcall.Destinations{http.StatusOK: &heartbeat, http.StatusConflict: &heartbeat})
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
