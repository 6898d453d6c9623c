package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lilacrill/internal/httpcall"
	"lilacrill/wire"
)

// Client calls a controller's administration API.
type Client struct {
	calls *httpcall.Client
	token string
}

// callTimeout bounds the duration of each call.
const callTimeout = 5 * time.Second

// errorStatuses are the statuses of responses that contain a reason.
var errorStatuses = []int{http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
	http.StatusConflict, http.StatusServiceUnavailable}

// NewClient returns a client for the controller at addr.
func NewClient(addr, token string) *Client {
	return &Client{httpcall.New(addr, 1, callTimeout), token}
}

// View reads a view as JSON.
func (c *Client) View(v wire.AdminView) (json.RawMessage, error) {
	return c.call(http.MethodGet, v, nil)
}

// ChangeSettings stores settings, on the condition that the stored version is still the one on which
// they are based.
func (c *Client) ChangeSettings(s wire.AdminSettings) (json.RawMessage, error) {
	return c.call(http.MethodPatch, wire.ViewSettings, s)
}

// ChangeRollout changes the rollout of a format, on the condition that the stored version is still
// the one on which the change is based.
func (c *Client) ChangeRollout(change wire.AdminRolloutChange) (json.RawMessage, error) {
	return c.call(http.MethodPatch, wire.ViewRollout, change)
}

// ChangeShards moves a shard, drains a controller or ends a drain.
func (c *Client) ChangeShards(change wire.AdminShardChange) (json.RawMessage, error) {
	return c.call(http.MethodPatch, wire.ViewShards, change)
}

// call makes one call. For a response whose status is not 200 it returns an error with the
// controller's reason.
func (c *Client) call(method string, view wire.AdminView, body any) (json.RawMessage, error) {
	var response json.RawMessage
	var failure wire.ErrorResponse
	destinations := map[int]any{http.StatusOK: &response} // by status
	for _, status := range errorStatuses {
		destinations[status] = &failure
	}
	status, err := c.calls.WithBearer(c.token).Call(method, Prefix+"/"+string(view), body, callTimeout, destinations)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("the controller responded with status %d: %s", status, failure.Error)
	}
	return response, nil
}
