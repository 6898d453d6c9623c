// Package worker sends commands directly to workers.
package worker

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"lilacrill/internal/core"
	"lilacrill/internal/httpcall"
	"lilacrill/wire"
)

// Client carries out the core's calls to workers.
type Client struct {
	log *slog.Logger

	mu      sync.Mutex
	workers map[string]*entry
}

type entry struct {
	client *httpcall.Client
	used   time.Time
}

const (
	doTimeout   = 2 * time.Second
	showTimeout = 800 * time.Millisecond
	idleTime    = 20 * time.Second
	maxConns    = 2
	keepFor     = 5 * time.Minute
)

// New makes a client.
func New(log *slog.Logger) *Client {
	return &Client{log: log, workers: map[string]*entry{}}
}

func (c *Client) worker(addr string) *httpcall.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	e := c.workers[addr]
	if e == nil {
		for a, old := range c.workers {
			if now.Sub(old.used) > keepFor {
				old.client.Close()
				delete(c.workers, a)
			}
		}
		e = &entry{client: httpcall.New(addr, maxConns, idleTime)}
		c.workers[addr] = e
	}
	e.used = now
	return e.client
}

// Do sends orders.
func (c *Client) Do(addr string, body wire.DoRequest, then func(core.Answered)) {
	go func() { then(c.call(addr, http.MethodPost, "/do", body, doTimeout)) }()
}

// Show asks for a report.
func (c *Client) Show(addr string, then func(core.Answered)) {
	go func() { then(c.call(addr, http.MethodGet, "/show", nil, showTimeout)) }()
}

func (c *Client) call(addr, method, path string, body any, timeout time.Duration) core.Answered {
	var r wire.Report
	status, err := c.worker(addr).Call(method, path, body, timeout, map[int]any{200: &r, 409: &r})
	if err != nil {
		c.log.Debug("worker gave no answer", "addr", addr, "call", path, "err", err)
		return core.Answered{Outcome: core.Unknown}
	}
	a := core.Answered{Outcome: core.NotDone}
	if status == http.StatusOK {
		a.Outcome, a.Executed = core.Done, true
	}
	if status == http.StatusOK || status == http.StatusConflict {
		if err := r.Check(); err != nil {
			c.log.Warn("worker's report dropped", "addr", addr, "err", err)
		} else {
			a.Report = &r
		}
	}
	return a
}
