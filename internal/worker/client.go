// Package worker sends commands directly to workers.
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

// Client carries out the core's calls to workers.
type Client struct {
	log   *slog.Logger
	bound int // connections that may be open, idle ones among them

	mu      sync.Mutex
	workers map[string]*list.Element // of *entry
	recent  list.List                // the one used last first
	open    int                      // calls under way
}

type entry struct {
	addr   string
	client *httpcall.Client
	calls  int // under way
}

const (
	doTimeout   = 2 * time.Second
	showTimeout = 800 * time.Millisecond
	idleTime    = 20 * time.Second
	maxConns    = 2
)

// New makes a client that holds at most about so many connections. The core
// bounds how many calls are under way; what is left of the connections is for
// idle ones, of which those that were used longest ago are closed.
func New(log *slog.Logger, bound int) *Client {
	return &Client{log: log, bound: bound, workers: map[string]*list.Element{}}
}

// acquire is the client of a worker for one call; release ends that.
func (c *Client) acquire(addr string) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.workers[addr]
	if at == nil {
		at = c.recent.PushFront(&entry{addr: addr, client: httpcall.New(addr, maxConns, idleTime)})
		c.workers[addr] = at
	} else {
		c.recent.MoveToFront(at)
	}
	e := at.Value.(*entry)
	e.calls++
	c.open++
	// Each worker that was called lately may hold a connection.
	for old := c.recent.Back(); old != nil && len(c.workers) > c.bound-c.open; {
		o, next := old.Value.(*entry), old.Prev()
		if o.calls == 0 {
			o.client.Close()
			c.recent.Remove(old)
			delete(c.workers, o.addr)
		}
		old = next
	}
	return e
}

func (c *Client) release(e *entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.calls--
	c.open--
}

// Do sends orders.
func (c *Client) Do(addr string, body wire.CommandRequest, then func(controller.WorkerResponse)) {
	go func() { then(c.call(addr, http.MethodPost, "/do", body, doTimeout)) }()
}

// Show asks for a report.
func (c *Client) Show(addr string, then func(controller.WorkerResponse)) {
	go func() { then(c.call(addr, http.MethodGet, "/show", nil, showTimeout)) }()
}

func (c *Client) call(addr, method, path string, body any, timeout time.Duration) controller.WorkerResponse {
	e := c.acquire(addr)
	defer c.release(e)
	var r wire.Heartbeat
	status, err := e.client.Call(method, path, body, timeout, map[int]any{200: &r, 409: &r})
	if err != nil {
		c.log.Debug("worker gave no answer", "addr", addr, "call", path, "err", err)
		return controller.WorkerResponse{Outcome: controller.Unknown}
	}
	a := controller.WorkerResponse{Outcome: controller.NotExecuted}
	if status == http.StatusOK {
		a.Outcome, a.Executed = controller.Succeeded, true
	}
	if status == http.StatusOK || status == http.StatusConflict {
		if err := r.Check(); err != nil {
			c.log.Warn("worker's report dropped", "addr", addr, "err", err)
		} else {
			a.Heartbeat = &r
		}
	}
	return a
}
