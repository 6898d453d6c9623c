package second

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"lilacrill/internal/controller"
	"lilacrill/internal/simulation"
	"lilacrill/wire"
)

// stateService is the state service: the store of the project's simulation behind an address of its
// own for each controller.
type stateService struct {
	rig     *rig
	mu      sync.Mutex
	store   *simulation.Store
	changed chan struct{} // closed at the next change
	start   time.Time
}

func newStateService(r *rig) *stateService {
	s := &stateService{rig: r, store: simulation.NewStore(), changed: make(chan struct{}), start: time.Now()}
	s.store.OnChange = func() {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	r.repeat(50*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.store.Expire(s.now())
	})
	return s
}

func (s *stateService) now() controller.Time { return controller.Time(time.Since(s.start)) }

// get returns the value of a key.
func (s *stateService) get(key string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, _, ok := s.store.Get(key)
	return value, ok
}

// handler returns the interface for one controller.
func (s *stateService) handler(caller int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query, path := r.URL.Query(), r.URL.Path
		switch {
		case path == "/follow":
			s.follow(w, r, caller)
		case path == "/kv":
			writeJSON(w, http.StatusOK, s.list(query))
		case strings.HasPrefix(path, "/kv/"):
			s.read(w, strings.TrimPrefix(path, "/kv/"))
		case path == "/multi":
			s.multi(w, r)
		case strings.HasPrefix(path, "/leases"):
			s.lease(w, r, strings.Split(strings.TrimPrefix(path, "/leases"), "/"))
		default:
			writeJSON(w, http.StatusBadRequest, refusal{"malformed"})
		}
	})
}

func (s *stateService) read(w http.ResponseWriter, key string) {
	s.mu.Lock()
	value, version, ok := s.store.Get(key)
	revision := s.store.Revision()
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, wire.TransactionResponse{Revision: revision})
		return
	}
	writeJSON(w, http.StatusOK, wire.Entry{Key: key, Value: value, Version: version})
}

// maxEntries is how many entries an answer holds at most.
const maxEntries = 1000

func (s *stateService) list(query url.Values) wire.EntryList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := wire.EntryList{Entries: s.store.List(query.Get("under")), Revision: s.store.Revision()}
	for len(list.Entries) > 0 && list.Entries[0].Key <= query.Get("after") {
		list.Entries = list.Entries[1:]
	}
	size, err := strconv.Atoi(query.Get("page"))
	if err != nil || size > maxEntries {
		size = maxEntries
	}
	if size < len(list.Entries) {
		list.Entries, list.More = list.Entries[:size], true
	}
	return list
}

func (s *stateService) multi(w http.ResponseWriter, r *http.Request) {
	var txn wire.Transaction
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		writeJSON(w, http.StatusBadRequest, refusal{"malformed"})
		return
	}
	s.mu.Lock()
	s.store.Expire(s.now())
	result := s.store.Commit(txn)
	s.mu.Unlock()
	switch result.Outcome {
	case controller.Succeeded:
		writeJSON(w, http.StatusOK, wire.TransactionResponse{Revision: result.Revision})
	case controller.Conflict:
		writeJSON(w, http.StatusConflict, wire.TransactionResponse{Revision: result.Revision, Failed: result.Failed})
	default:
		writeJSON(w, http.StatusBadRequest, refusal{"no such lease"})
	}
}

// lease grants or renews a lease. The path is "", or "/ID/extend".
func (s *stateService) lease(w http.ResponseWriter, r *http.Request, path []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Expire(s.now())
	if len(path) < 2 {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 100 || body.TTL > 600_000 {
			writeJSON(w, http.StatusBadRequest, refusal{"malformed"})
			return
		}
		id := s.store.Grant(s.now(), controller.Time(time.Duration(body.TTL)*time.Millisecond))
		writeJSON(w, http.StatusOK, map[string]wire.LeaseID{"permit": id})
		return
	}
	id, err := strconv.ParseUint(path[1], 10, 64)
	if err != nil || !s.store.Renew(s.now(), wire.LeaseID(id)) {
		writeJSON(w, http.StatusNotFound, refusal{"no such lease"})
		return
	}
	writeJSON(w, http.StatusOK, map[string]wire.LeaseID{"permit": wire.LeaseID(id)})
}

// follow waits for changes. While the controller is cut off, an open watch waits.
func (s *stateService) follow(w http.ResponseWriter, r *http.Request, caller int) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	block, _ := strconv.ParseInt(query.Get("block_ms"), 10, 64)
	deadline := time.After(time.Duration(block) * time.Millisecond)
	for waiting := block > 0; ; {
		s.mu.Lock()
		changes, changed := s.store.Changes(query.Get("under"), wire.Revision(after)), s.changed
		s.mu.Unlock()
		held := s.rig.nodes[caller].state.isClosed()
		if !held && (len(changes.Events) > 0 || !waiting) {
			writeJSON(w, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}
