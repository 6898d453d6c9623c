package standin

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keptChanges    = 10_000
	maxPage        = 1000
	maxPageBytes   = 512 << 10
	maxTxnBytes    = 64 << 10
	conditionsPer  = 4
	leaseCheck     = 50 * time.Millisecond
	minLeaseMS     = 100
	maxLeaseMS     = 600_000
	maxFollowBlock = 60_000
)

// StoreLimits are the limits of the state service, as under [cluster.state] of the settings.
type StoreLimits struct {
	RPS, WriteRPS float64
	ValueKB       float64
	TxnOps        int
}

// Store is the state service.
type Store struct {
	record *Record
	limits StoreLimits

	mu       sync.Mutex
	ledger   uint64
	values   map[string]stored
	log      []change
	forgot   uint64 // the newest change that is no longer kept
	leases   map[uint64]*lease
	permits  uint64
	changed  chan struct{} // closed at the next change
	requests *bucket
	writes   *bucket
}

type stored struct {
	value         json.RawMessage
	stamp, permit uint64
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

type change struct {
	Put   string          `json:"put,omitempty"`
	V     json.RawMessage `json:"v,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Stamp uint64          `json:"stamp"`
}

// NewStore returns an empty state service. It ends leases until done is closed.
func NewStore(record *Record, limits StoreLimits, done <-chan struct{}) *Store {
	s := &Store{record: record, limits: limits, values: map[string]stored{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		requests: newBucket(limits.RPS, limits.RPS), writes: newBucket(limits.WriteRPS, limits.WriteRPS)}
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(leaseCheck):
				s.endLeases()
			}
		}
	}()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.requests.take(1) {
		s.record.Add("state service: 429 to %s %s", r.Method, r.URL.Path)
		answer(w, http.StatusTooManyRequests, object{"error": "too many requests"})
		return
	}
	path := r.URL.Path
	switch {
	case path == "/follow":
		s.follow(w, r)
	case path == "/multi":
		s.multi(w, r)
	case path == "/kv":
		s.list(w, r.URL.Query())
	case strings.HasPrefix(path, "/kv/"):
		s.get(w, strings.TrimPrefix(path, "/kv/"))
	case strings.HasPrefix(path, "/leases"):
		s.lease(w, r)
	default:
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
	}
}

func (s *Store) get(w http.ResponseWriter, key string) {
	found, ok := s.values[key]
	if !ok {
		answer(w, http.StatusNotFound, object{"ledger": s.ledger})
		return
	}
	answer(w, http.StatusOK, object{"key": key, "v": found.value, "stamp": found.stamp, "permit": found.permit})
}

func (s *Store) list(w http.ResponseWriter, query url.Values) {
	var keys []string
	for key := range s.values {
		if strings.HasPrefix(key, query.Get("under")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, err := strconv.Atoi(query.Get("page"))
	if err != nil || page <= 0 || page > maxPage {
		page = maxPage
	}
	entries, size := []object{}, 0
	more := false
	for _, key := range keys {
		found := s.values[key]
		if size += len(key) + len(found.value); len(entries) == page || size > maxPageBytes && len(entries) > 0 {
			more = true
			break
		}
		entries = append(entries, object{"key": key, "v": found.value, "stamp": found.stamp})
	}
	answer(w, http.StatusOK, object{"entries": entries, "more": more, "ledger": s.ledger})
}

// multi carries out a transaction.
func (s *Store) multi(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		If []struct {
			Key   string `json:"key"`
			Stamp uint64 `json:"stamp"`
		} `json:"if"`
		Then []struct {
			Put    string          `json:"put"`
			V      json.RawMessage `json:"v"`
			Permit uint64          `json:"permit"`
			Drop   string          `json:"drop"`
		} `json:"then"`
	}
	body, ok := readBody(r, maxTxnBytes)
	if !ok || json.Unmarshal(body, &txn) != nil || len(txn.Then) > s.limits.TxnOps || len(txn.If) > conditionsPer*s.limits.TxnOps {
		s.record.Add("state service: 400 to a transaction of %d bytes, %d conditions and %d changes", len(body), len(txn.If), len(txn.Then))
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	if !s.writes.take(float64(len(txn.Then))) {
		s.record.Add("state service: 429 to a transaction of %d changes", len(txn.Then))
		answer(w, http.StatusTooManyRequests, object{"error": "too many changes"})
		return
	}
	failed := []string{}
	for _, condition := range txn.If {
		if s.values[condition.Key].stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		answer(w, http.StatusConflict, object{"failed": failed, "ledger": s.ledger})
		return
	}
	for _, then := range txn.Then {
		if float64(len(then.V)) > s.limits.ValueKB*1024 {
			s.record.Add("state service: 400 to a value of %d bytes for %s", len(then.V), then.Put)
			answer(w, http.StatusBadRequest, object{"error": "value too large"})
			return
		}
		if then.Permit != 0 && s.leases[then.Permit] == nil {
			answer(w, http.StatusBadRequest, object{"error": "no such lease"})
			return
		}
	}
	if len(txn.Then) > 0 {
		s.ledger++
	}
	for _, then := range txn.Then {
		if then.Put != "" {
			s.put(then.Put, then.V, then.Permit)
		} else {
			s.drop(then.Drop)
		}
	}
	s.notify()
	answer(w, http.StatusOK, object{"ledger": s.ledger})
}

func (s *Store) put(key string, value json.RawMessage, permit uint64) {
	s.values[key] = stored{value, s.ledger, permit}
	s.log = append(s.log, change{Put: key, V: value, Stamp: s.ledger})
}

func (s *Store) drop(key string) {
	if _, ok := s.values[key]; ok {
		delete(s.values, key)
		s.log = append(s.log, change{Drop: key, Stamp: s.ledger})
	}
}

func (s *Store) notify() {
	for len(s.log) > keptChanges {
		s.forgot = s.log[0].Stamp
		s.log = s.log[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) lease(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		text, ok := readBody(r, maxTxnBytes)
		if !ok || json.Unmarshal(text, &body) != nil || body.TTL < minLeaseMS || body.TTL > maxLeaseMS {
			answer(w, http.StatusBadRequest, object{"error": "malformed"})
			return
		}
		s.permits++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.permits] = &lease{ttl, time.Now().Add(ttl)}
		answer(w, http.StatusOK, object{"permit": s.permits})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	held := s.leases[id]
	if held == nil {
		answer(w, http.StatusNotFound, object{"error": "no such lease"})
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		held.ends = time.Now().Add(held.ttl)
	}
	answer(w, http.StatusOK, object{"permit": id})
}

// endLeases ends the leases that were not renewed in time.
func (s *Store) endLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.leases {
		if time.Now().After(held.ends) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, found := range s.values {
		if found.permit == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if len(keys) > 0 {
		s.ledger++
	}
	for _, key := range keys {
		s.drop(key)
	}
	s.notify()
}

// follow waits for changes. The lock is held when it is called and when it returns, but not while it
// waits.
func (s *Store) follow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	block, _ := strconv.ParseInt(query.Get("block_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(block, maxFollowBlock)) * time.Millisecond)
	defer timer.Stop()
	if after < s.forgot {
		answer(w, http.StatusGone, object{"error": "too old"})
		return
	}
	for waiting := true; ; {
		log := []change{}
		for _, logged := range s.log {
			if logged.Stamp > after && strings.HasPrefix(logged.Put+logged.Drop, query.Get("under")) {
				log = append(log, logged)
			}
		}
		if len(log) > 0 || !waiting {
			answer(w, http.StatusOK, object{"ledger": s.ledger, "log": log})
			return
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
}
