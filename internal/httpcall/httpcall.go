// Package httpcall makes single JSON calls over HTTP to one address. It never
// repeats a call by itself: whether that is safe is for the caller to know.
package httpcall

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lilacrill/internal/fastjson"
)

// ErrNotSent says that a call certainly did not reach its address.
var ErrNotSent = errors.New("not sent")

// Client calls one address, over connections that it keeps.
type Client struct {
	host   *fasthttp.HostClient
	base   string
	bearer string
}

// dialTimeout bounds how long a connection may take to open.
const dialTimeout = time.Second

// New makes a client that holds at most conns connections, and closes those
// that have been idle for as long as idle says.
func New(addr string, conns int, idle time.Duration) *Client {
	return &Client{
		host: &fasthttp.HostClient{
			Addr:                      addr,
			MaxConns:                  conns,
			MaxIdleConnDuration:       idle,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
			DialTimeout: func(addr string, timeout time.Duration) (net.Conn, error) {
				if timeout <= 0 || timeout > dialTimeout {
					timeout = dialTimeout
				}
				conn, err := net.DialTimeout("tcp4", addr, timeout)
				if err != nil {
					return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
				}
				return conn, nil
			},
		},
		base: "http://" + addr,
	}
}

// Bearer is the same client with a token in every call.
func (c *Client) Bearer(token string) *Client {
	d := *c
	d.bearer = token
	return &d
}

// Close drops the idle connections.
func (c *Client) Close() { c.host.CloseIdleConnections() }

// Call sends body (nil: none) and decodes an answer with one of the statuses
// named in into; other answers are only reported by their status.
func (c *Client) Call(method, path string, body any, timeout time.Duration, into map[int]any) (int, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	if c.bearer != "" {
		req.Header.Set("Authorization", "Bearer "+c.bearer)
	}
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(b)
	}
	if err := c.host.DoTimeout(req, resp, timeout); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return 0, fmt.Errorf("%s %s: %w", method, path, err)
	}
	status := resp.StatusCode()
	if v := into[status]; v != nil {
		if err := fastjson.Unmarshal(resp.Body(), v); err != nil {
			return status, fmt.Errorf("%s %s: answer not understood: %w", method, path, err)
		}
	}
	return status, nil
}
