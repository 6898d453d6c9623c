package simulation

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/wire"
)

// minLeaseTTL is the shortest lease that the state store grants.
const minLeaseTTL = 100 * time.Millisecond

// StoreServer serves a Store over HTTP on the real clock.
type StoreServer struct {
	// Unavailable makes the server answer every call with status 503, as in an outage.
	Unavailable atomic.Bool

	mu         sync.Mutex
	store      *Store
	changed    chan struct{} // closed at the next change
	start      time.Time
	placements *placementLog // nil if placements are not recorded
}

// NewStoreServer returns a server with an empty store.
func NewStoreServer() *StoreServer {
	s := &StoreServer{store: NewStore(), changed: make(chan struct{}), start: time.Now()}
	s.store.OnChange = func() {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return s
}

// RecordPlacements records in h from now on which process places which tasks.
func (s *StoreServer) RecordPlacements(h *History) { s.placements = newPlacementLog(h) }

// Entries returns the entries under a prefix.
func (s *StoreServer) Entries(prefix string) []wire.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.List(prefix)
}

// Compact drops all recorded changes, so that clients that have not read them load the keys again.
func (s *StoreServer) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Compact()
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
	path := r.URL.Path
	switch {
	case path == "/follow":
		s.serveWatch(w, r)
	case path == "/kv":
		writeJSON(w, http.StatusOK, s.page(r.URL.Query()))
	case strings.HasPrefix(path, "/kv/"):
		s.serveGet(w, strings.TrimPrefix(path, "/kv/"))
	case path == "/multi":
		s.serveCommit(w, r)
	case path == "/leases":
		s.serveGrant(w, r)
	case strings.HasSuffix(path, "/extend"):
		s.serveRenew(w, strings.TrimSuffix(strings.TrimPrefix(path, "/leases/"), "/extend"))
	default:
		writeMalformed(w)
	}
}

// page returns the part of the entries under a prefix that a query selects.
func (s *StoreServer) page(query url.Values) wire.EntryList {
	list := wire.EntryList{Entries: s.store.List(query.Get("under")), Revision: s.store.Revision()}
	for len(list.Entries) > 0 && list.Entries[0].Key <= query.Get("after") {
		list.Entries = list.Entries[1:]
	}
	if size, err := strconv.Atoi(query.Get("page")); err == nil && size < len(list.Entries) {
		list.Entries, list.More = list.Entries[:size], true
	}
	return list
}

func (s *StoreServer) serveGet(w http.ResponseWriter, key string) {
	value, version, ok := s.store.Get(key)
	if !ok {
		writeJSON(w, http.StatusNotFound, wire.TransactionResponse{Revision: s.store.Revision()})
		return
	}
	writeJSON(w, http.StatusOK, wire.Entry{Key: key, Value: value, Version: version})
}

func (s *StoreServer) serveCommit(w http.ResponseWriter, r *http.Request) {
	var txn wire.Transaction
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		writeMalformed(w)
		return
	}
	switch result := s.store.Commit(txn); result.Outcome {
	case controller.Succeeded:
		if s.placements != nil {
			s.placements.recordTransaction(s.store, txn)
		}
		writeJSON(w, http.StatusOK, wire.TransactionResponse{Revision: result.Revision})
	case controller.Conflict:
		writeJSON(w, http.StatusConflict, wire.TransactionResponse{Revision: result.Revision, Failed: result.Failed})
	default:
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "no such lease"})
	}
}

func (s *StoreServer) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < minLeaseTTL.Milliseconds() {
		writeMalformed(w)
		return
	}
	ttl := time.Duration(body.TTL) * time.Millisecond
	writeLease(w, s.store.Grant(s.now(), controller.Time(ttl)))
}

func (s *StoreServer) serveRenew(w http.ResponseWriter, name string) {
	id, _ := strconv.ParseUint(name, 10, 64)
	if !s.store.Renew(s.now(), wire.LeaseID(id)) {
		writeJSON(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such lease"})
		return
	}
	writeLease(w, wire.LeaseID(id))
}

// serveWatch waits until there are changes for a watch or the watch times out. The lock is
// held when serveWatch is called and when it returns, but not while it waits.
func (s *StoreServer) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	block, _ := strconv.ParseInt(query.Get("block_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer timer.Stop()
	if s.store.IsCompacted(wire.Revision(after)) {
		writeJSON(w, http.StatusGone, wire.ErrorResponse{Error: "compacted"})
		return
	}
	changes := func() wire.WatchResponse { return s.store.Changes(query.Get("under"), wire.Revision(after)) }
	for waiting := true; waiting && len(changes().Events) == 0; {
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
	writeJSON(w, http.StatusOK, changes())
}

func writeLease(w http.ResponseWriter, id wire.LeaseID) {
	writeJSON(w, http.StatusOK, map[string]wire.LeaseID{"permit": id})
}

func writeMalformed(w http.ResponseWriter) {
	writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err) // the fakes encode only bodies that they made themselves
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // an error means that the client has disconnected
}
