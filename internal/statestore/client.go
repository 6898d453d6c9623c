package statestore

import (
	"errors"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/httpcall"
	"lilacrill/internal/sockets"
	"lilacrill/wire"
)

// Client carries out the core's calls to the state service.
type Client struct {
	set   *config.Settings
	log   *slog.Logger
	calls *httpcall.Client
	feed  *httpcall.Client
	queue *queue
}

const (
	callTimeout  = 1500 * time.Millisecond
	leaseTimeout = time.Second
	blockSlack   = 3 * time.Second
	queueTime    = 2 * time.Second
	listPage     = 500
	idleTime     = 30 * time.Second
	feedConns    = 4
)

// New makes a client; Serve must run for it to do anything.
func New(set *config.Settings, log *slog.Logger) *Client {
	conns := sockets.NewBudget(set).State
	return &Client{
		set:   set,
		log:   log,
		calls: httpcall.New(set.Services.State, conns-feedConns, idleTime),
		feed:  httpcall.New(set.Services.State, feedConns, idleTime),
		queue: newQueue(set.Cluster.State.RPS, set.Cluster.State.WriteRPS),
	}
}

// Serve hands out tokens until done is closed.
func (c *Client) Serve(done <-chan struct{}) { c.queue.serve(done) }

// SetRateFraction sets the part of the limits that this controller may use.
func (c *Client) SetRateFraction(part float64) {
	c.queue.share(c.set.Cluster.State.RPS, c.set.Cluster.State.WriteRPS, part)
}

// outcome sorts a call's end. Statuses in the 500s other than 503 say nothing
// of whether the call was executed.
func (c *Client) outcome(what string, status int, err error) controller.Outcome {
	switch {
	case err != nil && errors.Is(err, httpcall.ErrNotSent):
		c.log.Debug("state service not reached", "call", what, "err", err)
		return controller.NotExecuted
	case err != nil:
		c.log.Debug("state service gave no answer", "call", what, "err", err)
		return controller.Unknown
	}
	switch status {
	case http.StatusOK:
		return controller.Succeeded
	case http.StatusConflict:
		return controller.Conflict
	case http.StatusNotFound:
		return controller.NotFound
	case http.StatusGone:
		return controller.Compacted
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.log.Debug("state service refused", "call", what, "status", status)
		return controller.NotExecuted
	case http.StatusBadRequest:
		c.log.Error("state service found a call malformed", "call", what)
		return controller.NotExecuted
	}
	c.log.Warn("state service answered oddly", "call", what, "status", status)
	return controller.Unknown
}

// Watch reads the feed.
func (c *Client) Watch(f controller.Watch, then func(controller.WatchResult)) {
	q := url.Values{"under": {f.Prefix}, "after": {strconv.FormatUint(uint64(f.After), 10)}}
	timeout := callTimeout
	calls := c.calls
	if f.Block > 0 {
		q.Set("block_ms", strconv.FormatInt(f.Block.Milliseconds(), 10))
		timeout = f.Block + blockSlack
		calls = c.feed
	}
	c.queue.add(f.Priority, &waiter{deadline: time.Now().Add(queueTime), run: func() {
		var r controller.WatchResult
		status, err := calls.Call(http.MethodGet, "/follow?"+q.Encode(), nil, timeout, map[int]any{200: &r.Response})
		r.Outcome = c.outcome("follow", status, err)
		then(r)
	}, expire: func() { then(controller.WatchResult{Outcome: controller.NotExecuted}) }})
}

// Commit runs a transaction.
func (c *Client) Commit(m controller.Commit, then func(controller.CommitResult)) {
	timeout := callTimeout
	if m.Priority == controller.PriorityLease {
		timeout = leaseTimeout
	}
	c.queue.add(m.Priority, &waiter{writes: len(m.Txn.Then), deadline: time.Now().Add(queueTime), run: func() {
		var a wire.TransactionResponse
		var problem wire.ErrorResponse
		status, err := c.calls.Call(http.MethodPost, "/multi", m.Txn, timeout,
			map[int]any{200: &a, 409: &a, 400: &problem})
		r := controller.CommitResult{Revision: a.Revision, Failed: a.Failed}
		if status == http.StatusBadRequest && err == nil && problem.Error == "no such lease" {
			r.Outcome = controller.NotFound
		} else {
			r.Outcome = c.outcome("multi", status, err)
		}
		then(r)
	}, expire: func() { then(controller.CommitResult{Outcome: controller.NotExecuted}) }})
}

// Get reads one key.
func (c *Client) Get(f controller.GetKey, then func(controller.GetResult)) {
	c.queue.add(controller.PriorityAdmission, &waiter{deadline: time.Now().Add(queueTime), run: func() {
		var e wire.Entry
		status, err := c.calls.Call(http.MethodGet, "/kv/"+f.Key, nil, callTimeout, map[int]any{200: &e})
		then(controller.GetResult{Outcome: c.outcome("get", status, err), Value: e.Value, Version: e.Version})
	}, expire: func() { then(controller.GetResult{Outcome: controller.NotExecuted}) }})
}

// GrantLease asks for a lease.
func (c *Client) GrantLease(g controller.GrantLease, then func(controller.LeaseResult)) {
	body := struct {
		TTL int64 `json:"ttl_ms"`
	}{g.TTL.Milliseconds()}
	c.lease("/leases", body, 0, then)
}

// RenewLease renews a lease.
func (c *Client) RenewLease(e controller.RenewLease, then func(controller.LeaseResult)) {
	c.lease("/leases/"+strconv.FormatUint(uint64(e.LeaseID), 10)+"/extend", struct{}{}, e.LeaseID, then)
}

func (c *Client) lease(path string, body any, leaseID wire.LeaseID, then func(controller.LeaseResult)) {
	c.queue.add(controller.PriorityLease, &waiter{deadline: time.Now().Add(queueTime), run: func() {
		var a struct {
			LeaseID wire.LeaseID `json:"permit"`
		}
		status, err := c.calls.Call(http.MethodPost, path, body, leaseTimeout, map[int]any{200: &a})
		if a.LeaseID == 0 {
			a.LeaseID = leaseID
		}
		then(controller.LeaseResult{Outcome: c.outcome("lease", status, err), LeaseID: a.LeaseID})
	}, expire: func() { then(controller.LeaseResult{Outcome: controller.NotExecuted}) }})
}

// Load reads all keys under the prefixes.
func (c *Client) Load(l controller.LoadKeys, then func(controller.LoadResult)) {
	go func() {
		var r controller.LoadResult
		for i, prefix := range l.Prefixes {
			after := ""
			for {
				page, outcome := c.list(prefix, after)
				if outcome != controller.Succeeded {
					then(controller.LoadResult{Outcome: outcome})
					return
				}
				if i == 0 && after == "" {
					r.First = page.Revision
				}
				r.Last = max(r.Last, page.Revision)
				r.Entries = append(r.Entries, page.Entries...)
				if !page.More || len(page.Entries) == 0 {
					break
				}
				after = page.Entries[len(page.Entries)-1].Key
			}
		}
		then(r)
	}()
}

func (c *Client) list(prefix, after string) (wire.EntryList, controller.Outcome) {
	q := url.Values{"under": {prefix}, "page": {strconv.Itoa(listPage)}}
	if after != "" {
		q.Set("after", after)
	}
	type result struct {
		page    wire.EntryList
		outcome controller.Outcome
	}
	ch := make(chan result, 1)
	c.queue.add(controller.PriorityLease, &waiter{deadline: time.Now().Add(queueTime), run: func() {
		var r result
		status, err := c.calls.Call(http.MethodGet, "/kv?"+q.Encode(), nil, 2*callTimeout, map[int]any{200: &r.page})
		r.outcome = c.outcome("list", status, err)
		ch <- r
	}, expire: func() { ch <- result{outcome: controller.NotExecuted} }})
	r := <-ch
	return r.page, r.outcome
}
