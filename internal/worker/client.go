// Package worker makes the controller's direct calls to workers. The calls send commands or request
// a heartbeat. Heartbeats that workers send on their own are received by package server instead.
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

	idleTimeout             = 20 * time.Second // after which an idle connection is closed
	maxConnectionsPerWorker = 2
)

// Client makes calls to workers. It keeps connections open for later calls until they have been
// idle for idleTimeout or must make room for others.
type Client struct {
	log            *slog.Logger
	maxConnections int // bound on open connections, including idle ones

	mu       sync.Mutex
	workers  map[string]*list.Element // elements of lru, by address
	lru      list.List                // of *workerClient, the most recently used first
	inFlight int                      // calls in progress
}

// workerClient is the HTTP client of one worker.
type workerClient struct {
	addr     string
	client   *httpcall.Client
	inFlight int // calls in progress
}

// New returns a client that holds about maxConnections connections at most. The controller bounds how
// many calls are in progress. The remaining connections may be idle, and of the idle ones the least
// recently used are closed first.
func New(log *slog.Logger, maxConnections int) *Client {
	return &Client{log: log, maxConnections: maxConnections, workers: map[string]*list.Element{}}
}

// acquire returns the HTTP client of a worker for one call. The caller must release it after the
// call.
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

// closeLeastRecentlyUsed closes the idle connections of workers, the least recently used first,
// until there is room for the calls in progress. It counts one connection for each worker in
// c.workers, since each of them may have an idle one.
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

// SendCommands sends commands to a worker, and calls then with the response from another
// goroutine.
func (c *Client) SendCommands(addr string, request wire.CommandRequest, then func(controller.WorkerResponse)) {
	go func() { then(c.call(addr, http.MethodPost, commandPath, request, commandTimeout)) }()
}

// RequestHeartbeat requests a heartbeat from a worker, and calls then with the response from
// another goroutine.
func (c *Client) RequestHeartbeat(addr string, then func(controller.WorkerResponse)) {
	go func() { then(c.call(addr, http.MethodGet, probePath, nil, probeTimeout)) }()
}

// call makes one call. A worker responds with a heartbeat if it executed the call (200), and also if
// it rejected the call because it has received a higher fencing token or has another agent epoch
// (409).
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
