package second

import (
	"net"
	"net/http"
	"sync"
)

// address is an address that the cloud gives to machines, to one at a time.
type address struct {
	addr     string
	mu       sync.Mutex
	occupant *machine // nil until the first machine is up
	epoch    int      // counts the machines that have had the address
}

// newAddress returns an address that no machine has had.
func (r *rig) newAddress() (*address, error) {
	a := &address{}
	server, addr, err := serve(a, func(conn net.Conn) connInfo { return connInfo{node: r.controllerOf(conn), epoch: a.currentEpoch()} }, func(node int) *gate {
		if node < 0 {
			return nil
		}
		return &r.nodes[node].workers
	})
	if err != nil {
		return nil, err
	}
	a.addr = addr
	r.onClose(func() { _ = server.Close() })
	return a, nil
}

func (a *address) currentEpoch() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// assign gives the address to a machine that is up now. What still waits for an answer of the machine
// that had it before is reset.
func (a *address) assign(m *machine) {
	a.mu.Lock()
	before := a.occupant
	a.occupant = m
	a.epoch++
	a.mu.Unlock()
	if before != nil {
		before.hung.set(false)
	}
}

// ServeHTTP passes a call to the machine that has the address. A connection to the machine that had it
// before is reset.
func (a *address) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	occupant, epoch := a.occupant, a.epoch
	a.mu.Unlock()
	if occupant == nil || r.Context().Value(connKey{}).(*connInfo).epoch != epoch {
		panic(http.ErrAbortHandler)
	}
	occupant.ServeHTTP(w, r)
}
