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

const timeout = 5 * time.Second

// NewClient makes a client for the controller at addr.
func NewClient(addr, token string) *Client {
	return &Client{httpcall.New(addr, 1, timeout), token}
}

// View reads a view as JSON.
func (c *Client) View(v wire.AdminView) (json.RawMessage, error) {
	return c.call(http.MethodGet, v, nil)
}

// Change stores settings against the version they were made from.
func (c *Client) Change(s wire.AdminSettings) (json.RawMessage, error) {
	return c.call(http.MethodPatch, wire.ViewSettings, s)
}

// ChangeRollout changes the rollout of a format against the version it was made from.
func (c *Client) ChangeRollout(change wire.AdminRolloutChange) (json.RawMessage, error) {
	return c.call(http.MethodPatch, wire.ViewRollout, change)
}

// ChangeShards moves a shard, drains a controller or ends a drain.
func (c *Client) ChangeShards(change wire.AdminShardChange) (json.RawMessage, error) {
	return c.call(http.MethodPatch, wire.ViewShards, change)
}

func (c *Client) call(method string, v wire.AdminView, body any) (json.RawMessage, error) {
	var answer json.RawMessage
	var problem wire.ErrorResponse
	into := map[int]any{http.StatusOK: &answer}
	for _, status := range []int{400, 401, 403, 404, 409, 503} {
		into[status] = &problem
	}
	status, err := c.calls.Bearer(c.token).Call(method, Prefix+"/"+string(v), body, timeout, into)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("the controller answered %d: %s", status, problem.Error)
	}
	return answer, nil
}
