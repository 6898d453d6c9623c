// Package cloud calls the cloud that machines are rented from.
package cloud

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"lilacrill/internal/config"
	"lilacrill/internal/controller"
	"lilacrill/internal/httpcall"
	"lilacrill/internal/sockets"
	"lilacrill/wire"
)

// Client carries out the core's calls to the cloud.
type Client struct {
	log    *slog.Logger
	calls  *httpcall.Client
	tokens *rate.Limiter
}

const (
	callTimeout = 4 * time.Second
	tokenWait   = 2 * time.Second
	idleTime    = 30 * time.Second
	// rateLimitFraction is the part of the cloud's limit that one controller uses: only one
	// buys at a time, the others rarely ask for anything.
	rateLimitFraction = 0.7
)

// New makes a client.
func New(set *config.Settings, log *slog.Logger) *Client {
	limit := set.Cluster.Cloud.RPS * rateLimitFraction
	return &Client{
		log:    log,
		calls:  httpcall.New(set.Services.Cloud, sockets.NewBudget(set).Cloud, idleTime),
		tokens: rate.NewLimiter(rate.Limit(limit), max(1, int(limit))),
	}
}

// call makes one call once there is a token for it.
func (c *Client) call(method, path string, body any, into map[int]any) (int, controller.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), tokenWait)
	defer cancel()
	if err := c.tokens.Wait(ctx); err != nil {
		return 0, controller.NotExecuted
	}
	status, err := c.calls.Call(method, path, body, callTimeout, into)
	switch {
	case errors.Is(err, httpcall.ErrNotSent):
		return status, controller.NotExecuted
	case err != nil:
		c.log.Warn("cloud gave no answer", "call", path, "err", err)
		return status, controller.Unknown
	case status == http.StatusOK:
		return status, controller.Succeeded
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusBadRequest:
		c.log.Debug("cloud refused", "call", path, "status", status)
		return status, controller.NotExecuted
	}
	c.log.Warn("cloud answered oddly", "call", path, "status", status)
	return status, controller.Unknown
}

// ReadCatalogue reads the machine types.
func (c *Client) ReadCatalogue(then func(controller.CatalogueResult)) {
	go func() {
		var r controller.CatalogueResult
		_, r.Outcome = c.call(http.MethodGet, "/catalog", nil, map[int]any{200: &r.Catalogue})
		then(r)
	}()
}

// ListMachines reads the whole machine list.
func (c *Client) ListMachines(then func(controller.MachinesResult)) {
	go func() {
		var r controller.MachinesResult
		after := ""
		for {
			q := url.Values{"page": {strconv.Itoa(wire.MaxMachinesPerPage)}}
			if after != "" {
				q.Set("after", after)
			}
			var page wire.MachineList
			if _, r.Outcome = c.call(http.MethodGet, "/hosts?"+q.Encode(), nil, map[int]any{200: &page}); r.Outcome != controller.Succeeded {
				break
			}
			r.Machines = append(r.Machines, page.Machines...)
			if !page.More || len(page.Machines) == 0 {
				break
			}
			after = string(page.Machines[len(page.Machines)-1].ID)
		}
		then(r)
	}()
}

// noCapacity is the cloud's word for having no such machine left.
const noCapacity = "no capacity"

// Provision rents machines.
func (c *Client) Provision(h wire.ProvisionRequest, then func(controller.ProvisionResult)) {
	go func() {
		var names wire.MachineNames
		var problem wire.ErrorResponse
		status, outcome := c.call(http.MethodPost, "/hosts", h, map[int]any{200: &names, 503: &problem})
		then(controller.ProvisionResult{Outcome: outcome, Machines: names.Names,
			NoCapacity: status == http.StatusServiceUnavailable && problem.Error == noCapacity})
	}()
}

// Terminate gives machines back.
func (c *Client) Terminate(names []wire.MachineID, then func(controller.TerminateResult)) {
	go func() {
		_, outcome := c.call(http.MethodPost, "/hosts/return", wire.MachineNames{Names: names}, nil)
		then(controller.TerminateResult{Outcome: outcome})
	}()
}
