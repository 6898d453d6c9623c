// Package statestore calls the state store, a consensus-backed key-value store, for the
// controller. Calls take tokens for requests and for writes, so that the store's rate limits are
// kept. While tokens are short, urgent calls go first.
package statestore

import (
	"context"
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

const (
	callTimeout  = 1500 * time.Millisecond
	leaseTimeout = time.Second
	listTimeout  = 2 * callTimeout
	// watchSlack is how much longer than its blocking time a blocking watch may take.
	watchSlack = 3 * time.Second

	idleTimeout = 30 * time.Second // after which an idle connection is closed
	// watchConnections is how many connections are reserved for watches that block.
	watchConnections = 4

	// listPageSize is how many keys one request of a load reads.
	listPageSize = 500
	// noSuchLease is the error text with which the state store refuses a transaction that attaches
	// a key to a lease that does not exist.
	noSuchLease = "no such lease"
)

// The paths of the state store's API.
const (
	watchPath       = "/follow"
	transactionPath = "/multi"
	keysPath        = "/kv"
	leasesPath      = "/leases"
)

// Client carries out the controller's calls to the state store. A method that takes a callback
// returns at once and calls the callback once, on another goroutine, with the result. The outcome
// in the result says whether the call was executed. Callers must handle Unknown, which means that
// the call may have been executed, or may still be executed.
type Client struct {
	settings *config.Settings
	log      *slog.Logger
	calls    *httpcall.Client
	watches  *httpcall.Client
	queue    *queue
}

// New returns a client. It makes calls only while Serve runs.
func New(settings *config.Settings, log *slog.Logger) *Client {
	connections := sockets.NewBudget(settings).State
	limits := &settings.Cluster.State
	return &Client{
		settings: settings,
		log:      log,
		calls:    httpcall.New(settings.Services.State, connections-watchConnections, idleTimeout),
		watches:  httpcall.New(settings.Services.State, watchConnections, idleTimeout),
		queue:    newQueue(limits.RPS, limits.WriteRPS),
	}
}

// Serve starts calls as the rate limits allow, until the context ends. Calls that are still queued
// when the context ends are not started, and their callbacks are not called.
func (c *Client) Serve(ctx context.Context) { c.queue.serve(ctx) }

// SetRateFraction sets the part of the state store's rate limits that this controller may use.
func (c *Client) SetRateFraction(fraction float64) {
	limits := &c.settings.Cluster.State
	c.queue.setLimits(limits.RPS, limits.WriteRPS, fraction)
}

// Watch reads the changes after a revision. If there are none and the watch has a blocking time,
// the state store holds the request open for up to that time.
func (c *Client) Watch(watch controller.Watch, then func(controller.WatchResult)) {
	query := url.Values{"under": {watch.Prefix}, "after": {strconv.FormatUint(uint64(watch.After), 10)}}
	timeout, client := callTimeout, c.calls
	if watch.Block > 0 {
		query.Set("block_ms", strconv.FormatInt(watch.Block.Milliseconds(), 10))
		timeout, client = watch.Block+watchSlack, c.watches
	}
	c.queue.add(watch.Priority, newCall(0, func() controller.WatchResult {
		var result controller.WatchResult
		status, err := client.Call(http.MethodGet, watchPath+"?"+query.Encode(), nil, timeout,
			httpcall.Destinations{http.StatusOK: &result.Response})
		result.Outcome = c.outcome("watch", status, err)
		return result
	}, controller.WatchResult{Outcome: controller.NotExecuted}, then))
}

// Commit runs a transaction. The outcome is NotFound if the lease that the transaction names does
// not exist.
func (c *Client) Commit(commit controller.Commit, then func(controller.CommitResult)) {
	timeout := callTimeout
	if commit.Priority == controller.PriorityLease {
		timeout = leaseTimeout
	}
	c.queue.add(commit.Priority, newCall(len(commit.Txn.Then), func() controller.CommitResult {
		var response wire.TransactionResponse
		var refusal wire.ErrorResponse
		status, err := c.calls.Call(http.MethodPost, transactionPath, commit.Txn, timeout, httpcall.Destinations{
			http.StatusOK: &response, http.StatusConflict: &response, http.StatusBadRequest: &refusal})
		result := controller.CommitResult{Revision: response.Revision, Failed: response.Failed}
		if status == http.StatusBadRequest && err == nil && refusal.Error == noSuchLease {
			result.Outcome = controller.NotFound
		} else {
			result.Outcome = c.outcome("transaction", status, err)
		}
		return result
	}, controller.CommitResult{Outcome: controller.NotExecuted}, then))
}

// Get reads one key.
func (c *Client) Get(get controller.GetKey, then func(controller.GetResult)) {
	c.queue.add(controller.PriorityAdmission, newCall(0, func() controller.GetResult {
		var entry wire.Entry
		status, err := c.calls.Call(http.MethodGet, keysPath+"/"+get.Key, nil, callTimeout, httpcall.Destinations{http.StatusOK: &entry})
		return controller.GetResult{Outcome: c.outcome("get", status, err), Value: entry.Value, Version: entry.Version}
	}, controller.GetResult{Outcome: controller.NotExecuted}, then))
}

// GrantLease creates a lease.
func (c *Client) GrantLease(grant controller.GrantLease, then func(controller.LeaseResult)) {
	body := struct {
		TTL int64 `json:"ttl_ms"`
	}{grant.TTL.Milliseconds()}
	c.queueLeaseCall(leasesPath, body, 0, then)
}

// RenewLease renews a lease.
func (c *Client) RenewLease(renewal controller.RenewLease, then func(controller.LeaseResult)) {
	path := leasesPath + "/" + strconv.FormatUint(uint64(renewal.LeaseID), 10) + "/extend"
	c.queueLeaseCall(path, struct{}{}, renewal.LeaseID, then)
}

// queueLeaseCall queues a call that grants or renews a lease. knownID is the lease's ID, or 0 if the
// response gives it.
func (c *Client) queueLeaseCall(path string, body any, knownID wire.LeaseID, then func(controller.LeaseResult)) {
	c.queue.add(controller.PriorityLease, newCall(0, func() controller.LeaseResult {
		var response struct {
			LeaseID wire.LeaseID `json:"permit"`
		}
		status, err := c.calls.Call(http.MethodPost, path, body, leaseTimeout, httpcall.Destinations{http.StatusOK: &response})
		if response.LeaseID == 0 {
			response.LeaseID = knownID
		}
		return controller.LeaseResult{Outcome: c.outcome("lease", status, err), LeaseID: response.LeaseID}
	}, controller.LeaseResult{Outcome: controller.NotExecuted}, then))
}

// Load reads all keys under some prefixes, page by page and in the order of the prefixes. Keys may
// be written between the reads of two pages, so the result contains the revision of the first page
// and that of the latest one.
func (c *Client) Load(load controller.LoadKeys, then func(controller.LoadResult)) {
	go func() { then(c.load(load.Prefixes)) }()
}

func (c *Client) load(prefixes []string) controller.LoadResult {
	var result controller.LoadResult
	for i, prefix := range prefixes {
		after := ""
		for {
			page := c.list(prefix, after)
			if page.outcome != controller.Succeeded {
				return controller.LoadResult{Outcome: page.outcome}
			}
			if i == 0 && after == "" {
				result.First = page.Revision
			}
			result.Last = max(result.Last, page.Revision)
			result.Entries = append(result.Entries, page.Entries...)
			if !page.More || len(page.Entries) == 0 {
				break
			}
			after = page.Entries[len(page.Entries)-1].Key
		}
	}
	return result
}

// listPage is a page of keys. It is valid only if the outcome is Succeeded.
type listPage struct {
	wire.EntryList
	outcome controller.Outcome
}

// list reads one page of the keys under a prefix and waits for the result. The page holds the keys
// that sort after the given one, or starts with the first key if after is empty.
func (c *Client) list(prefix, after string) listPage {
	query := url.Values{"under": {prefix}, "page": {strconv.Itoa(listPageSize)}}
	if after != "" {
		query.Set("after", after)
	}
	pages := make(chan listPage, 1)
	c.queue.add(controller.PriorityLease, newCall(0, func() listPage {
		var page listPage
		status, err := c.calls.Call(http.MethodGet, keysPath+"?"+query.Encode(), nil, listTimeout, httpcall.Destinations{http.StatusOK: &page.EntryList})
		page.outcome = c.outcome("list", status, err)
		return page
	}, listPage{outcome: controller.NotExecuted}, func(page listPage) { pages <- page }))
	return <-pages
}

// newCall returns a call for the queue. Its callback gets the result of run or, if the call
// expires, the result expired.
func newCall[R any](writes int, run func() R, expired R, then func(R)) *queuedCall {
	return &queuedCall{
		writes:   writes,
		deadline: time.Now().Add(queueTimeout),
		run:      func() { then(run()) },
		expire:   func() { then(expired) },
	}
}

// outcome returns the outcome of a call. After a status in the 500s other than 503 the call may
// have been executed, so its outcome is Unknown.
func (c *Client) outcome(call string, status int, err error) controller.Outcome {
	switch {
	case errors.Is(err, httpcall.ErrNotSent):
		c.log.Debug("state store unreachable", "call", call, "err", err)
		return controller.NotExecuted
	case err != nil:
		c.log.Debug("state store did not respond", "call", call, "err", err)
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
		c.log.Debug("state store refused a call", "call", call, "status", status)
		return controller.NotExecuted
	case http.StatusBadRequest:
		c.log.Error("state store rejected a call as malformed", "call", call)
		return controller.NotExecuted
	}
	c.log.Warn("state store returned an unexpected status", "call", call, "status", status)
	return controller.Unknown
}
