package simulation

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The timing of the load balancer, as the user protocol describes it.
const (
	balancerProbeInterval   = time.Second
	balancerProbeTimeout    = time.Second
	balancerAcceptTimeout   = 500 * time.Millisecond
	balancerDialAttempts    = 3
	balancerSkipPeriod      = 3 * time.Second // after balancerFailuresToSkip failed connections in a row
	balancerFailuresToSkip  = 3
	balancerMinRemoval      = 3 * time.Second
	balancerMaxRemoval      = time.Minute
	balancerRemovalWindow   = 2 * time.Minute // in which a further removal doubles the time that it lasts
	balancerRampPeriod      = 10 * time.Second
	balancerMinWeight       = 0.05 // of a node that has just become healthy
	balancerResetDelay      = 5 * time.Second
	balancerProbesKept      = 6
	balancerFailuresOfKept  = 3
	balancerFailuresInARow  = 2
	balancerSuccessesInARow = 2
)

// errNoHealthyNode is the error of connections that are opened while no node is healthy.
var errNoHealthyNode = errors.New("load balancer: no healthy node")

// LoadBalancer is a fake of the users' load balancer on the real clock. For each new connection it
// selects a healthy controller and prefers those with fewer open connections of users. It does not
// move open connections, and it does not inspect requests.
type LoadBalancer struct {
	mu    sync.Mutex
	nodes []*balancedNode
}

// balancedNode is a controller as the load balancer sees it.
type balancedNode struct {
	addr        string
	connections map[*balancedConn]bool // open connections of users

	healthy, everHealthy bool
	probes               []bool // results of the latest probes, the newest last
	healthySince         time.Time
	removedAt            time.Time // when it was last marked unhealthy
	removal              time.Duration
	failedConnections    int // in a row
	skippedUntil         time.Time
	healthChanges        int
}

// balancedConn is a user's connection to a controller.
type balancedConn struct {
	net.Conn
	balancer *LoadBalancer
	node     *balancedNode
}

// Close implements net.Conn.
func (c *balancedConn) Close() error {
	c.balancer.mu.Lock()
	delete(c.node.connections, c)
	c.balancer.mu.Unlock()
	return c.Conn.Close()
}

// StartLoadBalancer starts a load balancer for controllers that probes them until ctx ends.
func StartLoadBalancer(ctx context.Context, addrs []string) *LoadBalancer {
	b := &LoadBalancer{}
	for _, addr := range addrs {
		node := &balancedNode{addr: addr, connections: map[*balancedConn]bool{}}
		b.nodes = append(b.nodes, node)
		go b.probeLoop(ctx, node)
	}
	return b
}

// AllHealthy reports whether the load balancer considers all controllers healthy.
func (b *LoadBalancer) AllHealthy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !slices.ContainsFunc(b.nodes, func(node *balancedNode) bool { return !node.healthy })
}

// HealthChanges returns how often any controller was marked healthy or unhealthy.
func (b *LoadBalancer) HealthChanges() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	changes := 0
	for _, node := range b.nodes {
		changes += node.healthChanges
	}
	return changes
}

// DialContext opens a connection of a user to a healthy controller. It has the signature of
// http.Transport.DialContext and ignores the network and the address.
func (b *LoadBalancer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	tried := map[*balancedNode]bool{}
	err := errNoHealthyNode
	for range balancerDialAttempts {
		node := b.selectNode(tried)
		if node == nil {
			return nil, err
		}
		tried[node] = true
		dialer := net.Dialer{Timeout: balancerAcceptTimeout}
		var conn net.Conn
		conn, err = dialer.DialContext(ctx, "tcp4", node.addr)
		if opened := b.noteDial(node, conn, err); opened != nil {
			return opened, nil
		}
	}
	return nil, err
}

// selectNode returns the healthy node with the fewest connections for its weight, without those that
// were tried or are passed over. It returns nil if there is none.
func (b *LoadBalancer) selectNode(tried map[*balancedNode]bool) *balancedNode {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var selected *balancedNode
	lowest := 0.0
	for _, i := range rand.Perm(len(b.nodes)) {
		node := b.nodes[i]
		if !node.healthy || tried[node] || now.Before(node.skippedUntil) {
			continue
		}
		if load := float64(len(node.connections)+1) / node.weight(now); selected == nil || load < lowest {
			selected, lowest = node, load
		}
	}
	return selected
}

// weight returns the share of connections of a node in proportion to that of the others. It rises to
// 1 during balancerRampPeriod after the node has become healthy again.
func (n *balancedNode) weight(now time.Time) float64 {
	if n.removedAt.IsZero() {
		return 1
	}
	return min(1, max(balancerMinWeight, float64(now.Sub(n.healthySince))/float64(balancerRampPeriod)))
}

// noteDial records the result of an attempt to connect to a node, and returns the connection, or nil
// if it failed.
func (b *LoadBalancer) noteDial(node *balancedNode, conn net.Conn, err error) *balancedConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		node.failedConnections++
		if node.failedConnections >= balancerFailuresToSkip {
			node.failedConnections = 0
			node.skippedUntil = time.Now().Add(balancerSkipPeriod)
		}
		return nil
	}
	node.failedConnections = 0
	opened := &balancedConn{Conn: conn, balancer: b, node: node}
	node.connections[opened] = true
	return opened
}

// probeLoop probes a node until ctx ends.
func (b *LoadBalancer) probeLoop(ctx context.Context, node *balancedNode) {
	client := &http.Client{Timeout: balancerProbeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(balancerProbeInterval)
	defer ticker.Stop()
	for {
		b.noteProbe(node, probe(ctx, client, node.addr), time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe reports whether the health check of a controller succeeds.
func probe(ctx context.Context, client *http.Client, addr string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/up", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// noteProbe records the result of a probe and changes the health of the node accordingly.
func (b *LoadBalancer) noteProbe(node *balancedNode, succeeded bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	node.probes = append(node.probes, succeeded)
	if len(node.probes) > balancerProbesKept {
		node.probes = node.probes[1:]
	}
	switch {
	case node.healthy && node.mustBeRemoved():
		node.remove(now)
	case !node.healthy && node.mayReturn(now):
		node.healthy, node.everHealthy, node.healthySince = true, true, now
		node.healthChanges++
	}
	if !node.healthy && now.Sub(node.removedAt) >= balancerResetDelay {
		node.resetConnections()
	}
}

// mustBeRemoved reports whether the latest probes show that the node is unhealthy.
func (n *balancedNode) mustBeRemoved() bool {
	failures := 0
	for _, succeeded := range n.probes {
		if !succeeded {
			failures++
		}
	}
	return failures >= balancerFailuresOfKept || n.endsWith(balancerFailuresInARow, false)
}

// mayReturn reports whether an unhealthy node may be marked healthy.
func (n *balancedNode) mayReturn(now time.Time) bool {
	if !n.everHealthy {
		return n.endsWith(1, true)
	}
	return n.endsWith(balancerSuccessesInARow, true) && now.Sub(n.removedAt) >= n.removal
}

// endsWith reports whether the latest count probes had the given result.
func (n *balancedNode) endsWith(count int, succeeded bool) bool {
	if len(n.probes) < count {
		return false
	}
	for _, result := range n.probes[len(n.probes)-count:] {
		if result != succeeded {
			return false
		}
	}
	return true
}

// remove marks the node as unhealthy.
func (n *balancedNode) remove(now time.Time) {
	if !n.removedAt.IsZero() && now.Sub(n.removedAt) < balancerRemovalWindow {
		n.removal = min(2*n.removal, balancerMaxRemoval)
	} else {
		n.removal = balancerMinRemoval
	}
	n.healthy, n.removedAt, n.probes = false, now, nil
	n.healthChanges++
}

// resetConnections closes all connections to the node. The load balancer's lock must be held.
func (n *balancedNode) resetConnections() {
	for conn := range n.connections {
		delete(n.connections, conn)
		_ = conn.Conn.Close() // the user notices
	}
}
