// Package cloud calls the API of the cloud that machines are provisioned from. Each call runs in
// a goroutine of its own, which passes the result to a callback.
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

// Client carries out the controller's calls to the cloud, within the controller's part of the
// cloud's rate limit.
type Client struct {
	log     *slog.Logger
	calls   *httpcall.Client
	limiter *rate.Limiter
}

const (
	callTimeout = 4 * time.Second
	// tokenTimeout is how long a call waits for a token of the rate limit before it fails.
	tokenTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
	// rateLimitFraction is the part of the cloud's rate limit that one controller uses. The
	// parts of all controllers may add up to more than the limit, since only the leader for
	// scaling calls often. The other controllers read the catalogue.
	rateLimitFraction = 0.7
)

// New returns a client.
func New(settings *config.Settings, log *slog.Logger) *Client {
	limit := settings.Cluster.Cloud.RPS * rateLimitFraction
	return &Client{
		log:     log,
		calls:   httpcall.New(settings.Services.Cloud, sockets.NewBudget(settings).Cloud, idleTimeout),
		limiter: rate.NewLimiter(rate.Limit(limit), max(1, int(limit))),
	}
}

// call makes one call once the rate limit allows it, and decodes the response into the destination
// for its status, if there is one. It returns the status and the outcome, which is Unknown after an
// unexpected status.
func (c *Client) call(method, path string, body any, destinations map[int]any) (int, controller.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return 0, controller.NotExecuted
	}
	status, err := c.calls.Call(method, path, body, callTimeout, destinations)
	switch {
	case errors.Is(err, httpcall.ErrNotSent):
		return status, controller.NotExecuted
	case err != nil:
		c.log.Warn("cloud call failed", "call", path, "err", err)
		return status, controller.Unknown
	case status == http.StatusOK:
		return status, controller.Succeeded
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable, status == http.StatusBadRequest:
		c.log.Debug("cloud call refused", "call", path, "status", status)
		return status, controller.NotExecuted
	}
	c.log.Warn("cloud call returned unexpected status", "call", path, "status", status)
	return status, controller.Unknown
}

// ReadCatalogue reads the catalogue of machine types.
func (c *Client) ReadCatalogue(then func(controller.CatalogueResult)) {
	go func() {
		var result controller.CatalogueResult
		_, result.Outcome = c.call(http.MethodGet, "/catalog", nil, map[int]any{http.StatusOK: &result.Catalogue})
		then(result)
	}()
}

// ListMachines reads the whole list of machines, page by page.
func (c *Client) ListMachines(then func(controller.MachinesResult)) {
	go func() { then(c.listAllMachines()) }()
}

// listAllMachines reads all pages of the list. If a page cannot be read, the outcome is that of its
// call.
func (c *Client) listAllMachines() controller.MachinesResult {
	var result controller.MachinesResult
	query := url.Values{"page": {strconv.Itoa(wire.MaxMachinesPerPage)}}
	for {
		var page wire.MachineList
		_, result.Outcome = c.call(http.MethodGet, "/hosts?"+query.Encode(), nil, map[int]any{http.StatusOK: &page})
		if result.Outcome != controller.Succeeded {
			return result
		}
		result.Machines = append(result.Machines, page.Machines...)
		if !page.More || len(page.Machines) == 0 {
			return result
		}
		query.Set("after", string(page.Machines[len(page.Machines)-1].ID))
	}
}

// noCapacity is the error text with which the cloud refuses a provisioning request if it has no
// such machines left.
const noCapacity = "no capacity"

// Provision provisions machines. The request's name makes it safe to repeat the call.
func (c *Client) Provision(request wire.ProvisionRequest, then func(controller.ProvisionResult)) {
	go func() {
		var provisioned wire.MachineNames
		var failure wire.ErrorResponse
		status, outcome := c.call(http.MethodPost, "/hosts", request,
			map[int]any{http.StatusOK: &provisioned, http.StatusServiceUnavailable: &failure})
		then(controller.ProvisionResult{
			Outcome:    outcome,
			Machines:   provisioned.Names,
			NoCapacity: status == http.StatusServiceUnavailable && failure.Error == noCapacity,
		})
	}()
}

// Terminate terminates machines. Succeeded means that the machines and all tasks on them are gone.
func (c *Client) Terminate(ids []wire.MachineID, then func(controller.TerminateResult)) {
	go func() {
		_, outcome := c.call(http.MethodPost, "/hosts/return", wire.MachineNames{Names: ids}, nil)
		then(controller.TerminateResult{Outcome: outcome})
	}()
}
