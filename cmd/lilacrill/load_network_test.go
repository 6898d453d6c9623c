package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lilacrill/internal/simulation"
)

// loadNetwork holds the ways between the processes of a load cluster. The index of each slice is that
// of a controller.
type loadNetwork struct {
	forUsers, forWorkers endpoints // to the controllers
	toState, toCloud     endpoints // from the controllers
	toPeers              []endpoints
}

// endpoint is the address of a target as one kind of client sees it, and the link to the target, or
// nil if the client calls the target itself.
type endpoint struct {
	addr string
	link *simulation.Link
}

type endpoints []endpoint

// addrs returns the addresses of the endpoints.
func (e endpoints) addrs() []string {
	var addrs []string
	for _, endpoint := range e {
		addrs = append(addrs, endpoint.addr)
	}
	return addrs
}

// newLoadNetwork returns the ways to the given addresses. Unless linked, they are direct.
func newLoadNetwork(tb testing.TB, linked bool, public, peers []string, state, cloud string) *loadNetwork {
	to := func(target string) endpoint {
		if !linked {
			return endpoint{addr: target}
		}
		link, err := simulation.NewLink(target)
		require.NoError(tb, err)
		return endpoint{addr: link.Addr(), link: link}
	}
	n := &loadNetwork{}
	for i := range public {
		n.forUsers, n.forWorkers = append(n.forUsers, to(public[i])), append(n.forWorkers, to(public[i]))
		n.toState, n.toCloud = append(n.toState, to(state)), append(n.toCloud, to(cloud))
		var toPeers endpoints
		for _, peer := range peers {
			toPeers = append(toPeers, to(peer))
		}
		n.toPeers = append(n.toPeers, toPeers)
	}
	return n
}

// peersOf returns the ways between a controller and its peers, in both directions.
func (n *loadNetwork) peersOf(i int) endpoints {
	var ways endpoints
	for peer, toPeers := range n.toPeers {
		if peer != i {
			ways = append(ways, toPeers[i], n.toPeers[i][peer])
		}
	}
	return ways
}

// all returns every endpoint.
func (n *loadNetwork) all() endpoints {
	var all endpoints
	for _, group := range append([]endpoints{n.forUsers, n.forWorkers, n.toState, n.toCloud}, n.toPeers...) {
		all = append(all, group...)
	}
	return all
}

// close closes all links.
func (n *loadNetwork) close() {
	for _, endpoint := range n.all() {
		if endpoint.link != nil {
			endpoint.link.Close()
		}
	}
}
