// Package httpcall makes single JSON calls over HTTP to one address. It never retries a call, since
// only the caller knows whether the call can safely be repeated.
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

// ErrNotSent is wrapped by the errors of calls that certainly did not reach the address.
var ErrNotSent = errors.New("not sent")

// Client makes calls to one address over persistent connections.
type Client struct {
	host   *fasthttp.HostClient
	base   string
	bearer string
}

// dialTimeout is the maximum time to open a connection.
const dialTimeout = time.Second

// New returns a client that holds at most maxConnections connections, and closes connections that
// have been idle for idleTimeout.
func New(addr string, maxConnections int, idleTimeout time.Duration) *Client {
	return &Client{
		host: &fasthttp.HostClient{
			Addr:                      addr,
			MaxConns:                  maxConnections,
			MaxIdleConnDuration:       idleTimeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
			DialTimeout:               dial,
		},
		base: "http://" + addr,
	}
}

// dial opens a TCP connection within the timeout, which it caps at dialTimeout.
func dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	conn, err := net.DialTimeout("tcp4", addr, timeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

// WithBearer returns a client that shares the connections of c and sends a bearer token with every
// call.
func (c *Client) WithBearer(token string) *Client {
	authorized := *c
	authorized.bearer = token
	return &authorized
}

// Close closes the idle connections.
func (c *Client) Close() { c.host.CloseIdleConnections() }

// Destinations maps each status whose response is decoded to a pointer to the value that the
// response is decoded into.
type Destinations map[int]any

// Call sends body as JSON, or no body if it is nil, and returns the status of the response. It decodes
// the response if into has a destination for that status. An error that wraps [ErrNotSent] means that
// the call certainly did not reach the address. After any other error the call may have been executed.
func (c *Client) Call(method, path string, body any, timeout time.Duration, into Destinations) (int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if err := c.build(request, method, path, body); err != nil {
		return 0, fmt.Errorf("%s %s: %w: %w", method, path, ErrNotSent, err)
	}
	if err := c.host.DoTimeout(request, response, timeout); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return 0, fmt.Errorf("%s %s: %w", method, path, err)
	}
	status := response.StatusCode()
	if destination := into[status]; destination != nil {
		if err := fastjson.Unmarshal(response.Body(), destination); err != nil {
			return status, fmt.Errorf("%s %s: decode response with status %d: %w", method, path, status, err)
		}
	}
	return status, nil
}

// build sets the method, URI, headers and body of a request.
func (c *Client) build(request *fasthttp.Request, method, path string, body any) error {
	request.Header.SetMethod(method)
	request.SetRequestURI(c.base + path)
	if c.bearer != "" {
		request.Header.Set("Authorization", "Bearer "+c.bearer)
	}
	if body == nil {
		return nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode body: %w", err)
	}
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(encoded)
	return nil
}
