package simulation

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// StoreServer serves a Store over HTTP on the real clock.
type StoreServer struct {
	// Unavailable makes every call answer 503, as in an outage.
	Unavailable atomic.Bool

	mu         sync.Mutex
	store      *Store
	changed    chan struct{}
	start      time.Time
	placements *placementLog // nil if none is kept
}

// NewStateServer makes a server with an empty store.
func NewStateServer() *StoreServer {
	s := &StoreServer{store: NewStore(), changed: make(chan struct{}), start: time.Now()}
	s.store.OnChange = func() {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return s
}

// RecordPlacements has a history note who places what from now on.
func (s *StoreServer) RecordPlacements(h *History) { s.placements = newPlacementLog(h) }

// Entries is what stands under a prefix.
func (s *StoreServer) Entries(prefix string) []wire.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.List(prefix)
}

func (s *StoreServer) now() controller.Time { return controller.Time(time.Since(s.start)) }

// ServeHTTP implements http.Handler.
func (s *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Unavailable.Load() {
		writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "down"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Expire(s.now())
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/follow":
		s.follow(w, r)
	case r.URL.Path == "/kv":
		list := wire.EntryList{Entries: s.store.List(query.Get("under")), Revision: s.store.Revision()}
		for len(list.Entries) > 0 && list.Entries[0].Key <= query.Get("after") {
			list.Entries = list.Entries[1:]
		}
		if page, err := strconv.Atoi(query.Get("page")); err == nil && page < len(list.Entries) {
			list.Entries, list.More = list.Entries[:page], true
		}
		writeJSON(w, http.StatusOK, list)
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		key := strings.TrimPrefix(r.URL.Path, "/kv/")
		if v, version, ok := s.store.Get(key); ok {
			writeJSON(w, http.StatusOK, wire.Entry{Key: key, Value: v, Version: version})
		} else {
			writeJSON(w, http.StatusNotFound, wire.TransactionResponse{Revision: s.store.Revision()})
		}
	case r.URL.Path == "/multi":
		var txn wire.Transaction
		if json.NewDecoder(r.Body).Decode(&txn) != nil {
			writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
			return
		}
		switch c := s.store.Commit(txn); c.Outcome {
		case controller.Succeeded:
			if s.placements != nil {
				s.placements.committed(s.store, txn)
			}
			writeJSON(w, http.StatusOK, wire.TransactionResponse{Revision: c.Revision})
		case controller.Conflict:
			writeJSON(w, http.StatusConflict, wire.TransactionResponse{Revision: c.Revision, Failed: c.Failed})
		default:
			writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"})
		}
	case r.URL.Path == "/leases":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 100 {
			writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
			return
		}
		writeJSON(w, http.StatusOK, map[string]wire.LeaseID{"permit": s.store.Grant(s.now(), controller.Time(time.Duration(body.TTL)*time.Millisecond))})
	case strings.HasSuffix(r.URL.Path, "/extend"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/leases/"), "/extend"), 10, 64)
		if s.store.Renew(s.now(), wire.LeaseID(id)) {
			writeJSON(w, http.StatusOK, map[string]wire.LeaseID{"permit": wire.LeaseID(id)})
		} else {
			writeJSON(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		}
	default:
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
	}
}

// follow is called, and returns, with the lock held.
func (s *StoreServer) follow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	block, _ := strconv.ParseInt(query.Get("block_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		if changes := s.store.Changes(query.Get("under"), wire.Revision(after)); len(changes.Events) > 0 {
			break
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
	}
	writeJSON(w, http.StatusOK, s.store.Changes(query.Get("under"), wire.Revision(after)))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // the client may be gone; a stand-in does not mind
}

// CloudServer is a cloud over HTTP with a catalogue and no machine to rent.
type CloudServer struct {
	Types []wire.MachineType
	// Machines, unless nil, is the machines that were rented before, in any order.
	Machines func() []wire.CloudMachine
	// Terminate, unless nil, ends machines and everything on them.
	Terminate func([]wire.MachineID)
}

// ServeHTTP implements http.Handler.
func (s CloudServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/catalog":
		writeJSON(w, http.StatusOK, wire.Catalogue{Types: s.Types})
	case r.URL.Path == "/hosts" && r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, s.machinePage(r))
	case r.URL.Path == "/hosts":
		writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
	default:
		var names wire.MachineNames
		if json.NewDecoder(r.Body).Decode(&names) == nil && s.Terminate != nil {
			s.Terminate(names.Names)
		}
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// machinePage is the part of the machine list that a request asks for.
func (s CloudServer) machinePage(r *http.Request) wire.MachineList {
	list := wire.MachineList{Machines: []wire.CloudMachine{}}
	if s.Machines == nil {
		return list
	}
	after := wire.MachineID(r.URL.Query().Get("after"))
	for _, machine := range s.Machines() {
		if machine.ID > after {
			list.Machines = append(list.Machines, machine)
		}
	}
	slices.SortFunc(list.Machines, func(a, b wire.CloudMachine) int { return cmp.Compare(a.ID, b.ID) })
	if most, err := strconv.Atoi(r.URL.Query().Get("page")); err == nil && most < len(list.Machines) {
		list.Machines, list.More = list.Machines[:most], true
	}
	return list
}
