package simulation

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLoadBalancerRemovesUnhealthyNodes checks when a node is marked unhealthy and healthy: after two
// failures in a row or three of six, and back after two successes and a pause that doubles.
func TestLoadBalancerRemovesUnhealthyNodes(t *testing.T) {
	b, node := &LoadBalancer{}, &balancedNode{connections: map[*balancedConn]bool{}}
	b.nodes = []*balancedNode{node}
	now := time.Unix(1000, 0)
	probes := func(results ...bool) bool {
		for _, succeeded := range results {
			now = now.Add(balancerProbeInterval)
			b.noteProbe(node, succeeded, now)
		}
		return node.healthy
	}
	require.False(t, probes(false))
	require.True(t, probes(true), "one success suffices for a node that has never been healthy")
	require.True(t, probes(true, true, true, true, true, true))
	require.True(t, probes(false, true, true))
	require.False(t, probes(false, false), "two in a row")
	require.False(t, probes(true, true), "before the pause is over")
	require.True(t, probes(true))
	require.True(t, probes(false, true, false, true))
	require.False(t, probes(false), "three of six")
	require.False(t, probes(true, true, true, true, true), "the pause has doubled")
	require.True(t, probes(true))
	require.Equal(t, 5, b.HealthChanges())
}

// TestLoadBalancerPrefersFewestConnections checks which node gets a new connection, and that the
// connections of a node that stays unhealthy are reset.
func TestLoadBalancerPrefersFewestConnections(t *testing.T) {
	b := &LoadBalancer{}
	for range 2 {
		b.nodes = append(b.nodes, &balancedNode{healthy: true, everHealthy: true, connections: map[*balancedConn]bool{}})
	}
	crowded, free := b.nodes[0], b.nodes[1]
	user, server := net.Pipe()
	opened := b.noteDial(crowded, user, nil)
	require.Same(t, free, b.selectNode(nil))
	require.Same(t, crowded, b.selectNode(map[*balancedNode]bool{free: true}))

	now := time.Unix(1000, 0)
	for range 2 + int(balancerResetDelay/balancerProbeInterval) {
		now = now.Add(balancerProbeInterval)
		b.noteProbe(crowded, false, now)
	}
	_, err := server.Read(make([]byte, 1))
	require.Error(t, err, "the connection is open")
	require.NoError(t, opened.Close())
	require.Nil(t, b.selectNode(map[*balancedNode]bool{free: true}))

	for range balancerFailuresToSkip {
		b.noteDial(free, nil, net.ErrClosed)
	}
	require.Nil(t, b.selectNode(nil), "a node to which connections fail is passed over")
}
