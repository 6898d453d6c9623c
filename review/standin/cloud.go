package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	failsAfter      = time.Second
	cloudBurst      = 2 // seconds
	maxHire         = 50
	maxReturn       = 100
	maxHostPage     = 500
	heldBeforeStart = time.Hour
)

// Kind is a machine type.
type Kind struct {
	SKU          string   `json:"sku"`
	Cores        float64  `json:"cores"`
	Accelerators float64  `json:"accelerators"`
	MemGB        float64  `json:"mem_gb"`
	LocalGB      float64  `json:"local_gb"`
	PullGBPerS   float64  `json:"pull_gb_per_s"`
	Rate         float64  `json:"rate"`
	MarketPrice  float64  `json:"market_price"`
	StartupS     float64  `json:"startup_s"`
	Yards        []string `json:"yards"`
}

// Rig is a machine.
type Rig struct {
	ID, Addr, Type, Yard string // Addr doesn't change once the machine has it
	Loaners              bool
	Kind                 *Kind
	// Faulty makes tasks on the machine fail.
	Faulty atomic.Bool

	hired, up, gone time.Time // zero: not yet
	worker          *Worker
}

// Cloud rents machines.
type Cloud struct {
	ctx    context.Context
	board  *Board
	record *Record
	nodes  []Node
	timing WorkerTiming
	kinds  []Kind

	// Boot returns how long a machine takes to come up.
	Boot func(kind *Kind) time.Duration
	// Lag returns by how much the list lags now.
	Lag func() time.Duration
	// Capacity returns how many machines there can be of a type, zone and kind at once.
	Capacity func(kind, yard string, loaners bool) int
	// NextAddr is the address that the next rented machine gets. If it is empty, that gets a new one.
	NextAddr string
	// Hired, if set, is called with each rented machine.
	Hired func(*Rig)

	mu       sync.Mutex
	rigs     []*Rig
	hires    map[string][]string
	requests *bucket
}

// NewCloud returns a cloud without machines.
func NewCloud(ctx context.Context, board *Board, record *Record, nodes []Node, timing WorkerTiming, kinds []Kind, rps float64) *Cloud {
	return &Cloud{ctx: ctx, board: board, record: record, nodes: nodes, timing: timing, kinds: kinds,
		Boot:     func(kind *Kind) time.Duration { return time.Duration(kind.StartupS * float64(time.Second)) },
		Lag:      func() time.Duration { return 0 },
		Capacity: func(string, string, bool) int { return 0 },
		hires:    map[string][]string{}, requests: newBucket(rps, cloudBurst*rps)}
}

// AddRunning adds a machine that has been up for long.
func (c *Cloud) AddRunning(sku, yard string, loaners bool) (*Rig, error) {
	return c.AddRunningVia(sku, yard, loaners, "", rotated(c.nodes))
}

// AddRunningVia does the same for a machine with a given address, unless that is empty, which reaches
// the controllers at the given addresses and reports to the first of them as long as it can.
func (c *Cloud) AddRunningVia(sku, yard string, loaners bool, addr string, nodes []Node) (*Rig, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rig, err := c.add(sku, yard, loaners)
	if err != nil {
		return nil, err
	}
	rig.Addr = addr
	rig.hired = time.Now().Add(-heldBeforeStart)
	rig.up = rig.hired
	rig.worker, err = startWorker(c.ctx, rig, c.board, c.record, nodes, c.timing, rand.N(c.timing.Report))
	return rig, err
}

// add adds a machine. The lock must be held.
func (c *Cloud) add(sku, yard string, loaners bool) (*Rig, error) {
	i := slices.IndexFunc(c.kinds, func(kind Kind) bool { return kind.SKU == sku })
	if i < 0 || !slices.Contains(c.kinds[i].Yards, yard) {
		return nil, fmt.Errorf("no machine type %s in zone %s", sku, yard)
	}
	rig := &Rig{ID: fmt.Sprintf("m-%06d", len(c.rigs)+1), Type: sku, Yard: yard, Loaners: loaners, Kind: &c.kinds[i], hired: time.Now()}
	c.rigs = append(c.rigs, rig)
	return rig, nil
}

// Take takes a spot machine back, with everything on it and without a notice.
func (c *Cloud) Take(rig *Rig) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.Say("cloud: takes %s back without a notice", rig.ID)
	c.end(rig, "machine taken back")
}

// end ends a machine. The lock must be held.
func (c *Cloud) end(rig *Rig, why string) {
	if !rig.gone.IsZero() {
		return
	}
	rig.gone = time.Now()
	if rig.worker != nil {
		rig.worker.end(why)
	}
}

// FreeCores returns how many cores of the machine no task has, or 0 if it is not up.
func (c *Cloud) FreeCores(rig *Rig) float64 {
	c.mu.Lock()
	worker, gone := rig.worker, !rig.gone.IsZero()
	c.mu.Unlock()
	if worker == nil || gone {
		return 0
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	free := rig.Kind.Cores
	for _, t := range worker.tasks {
		if t.Status != "exited" {
			job, _, _ := worker.lookUp(t.Load)
			free -= job.Cores
		}
	}
	return free
}

// Gone reports whether a machine is gone.
func (c *Cloud) Gone(rig *Rig) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !rig.gone.IsZero()
}

// Rigs returns all machines that there have been.
func (c *Cloud) Rigs() []*Rig {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.rigs)
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requests.take(1) {
		answer(w, http.StatusTooManyRequests, object{"error": "too many requests"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		answer(w, http.StatusOK, object{"rigtypes": c.kinds})
	case r.URL.Path == "/hosts" && r.Method == http.MethodGet:
		c.list(w, r)
	case r.URL.Path == "/hosts":
		c.hire(w, r)
	case r.URL.Path == "/hosts/return":
		c.giveBack(w, r)
	default:
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
	}
}

// list answers with the machines as of some time ago.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	lag := c.Lag()
	as := time.Now().Add(-lag)
	page, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || page <= 0 || page > maxHostPage {
		page = maxHostPage
	}
	listed, words, more := []object{}, []string{}, false
	for _, rig := range c.rigs {
		if rig.ID <= r.URL.Query().Get("after") || rig.hired.After(as) || !rig.gone.IsZero() && !rig.gone.After(as) {
			continue
		}
		if len(listed) == page {
			more = true
			break
		}
		status := "booting"
		if !rig.up.IsZero() && !rig.up.After(as) {
			status = "running"
		}
		words = append(words, rig.ID+" "+status)
		listed = append(listed, object{"id": rig.ID, "addr": rig.Addr, "rigtype": rig.Type, "yard": rig.Yard, "loaners": rig.Loaners,
			"status": status, "held_s": as.Sub(rig.hired).Seconds()})
	}
	c.record.Add("cloud: list as of %.1f s ago: %v", lag.Seconds(), words)
	answer(w, http.StatusOK, object{"rigs": listed, "more": more})
}

// hire rents machines.
func (c *Cloud) hire(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hire    string `json:"hire"`
		Type    string `json:"rigtype"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Number  int    `json:"number"`
	}
	text, ok := readBody(r, bodyLimit)
	if !ok || json.Unmarshal(text, &body) != nil || body.Hire == "" || body.Number < 1 || body.Number > maxHire {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	if names, repeated := c.hires[body.Hire]; repeated {
		answer(w, http.StatusOK, object{"rigs": names})
		return
	}
	room := c.Capacity(body.Type, body.Yard, body.Loaners)
	for _, rig := range c.rigs {
		if rig.gone.IsZero() && rig.Type == body.Type && rig.Yard == body.Yard && rig.Loaners == body.Loaners {
			room--
		}
	}
	names := []string{}
	for range min(room, body.Number) {
		rig, err := c.add(body.Type, body.Yard, body.Loaners)
		if err != nil {
			break
		}
		names = append(names, rig.ID)
		c.boot(rig)
	}
	c.record.Add("cloud: %s asks for %d %s in %s, spot %v: %v", body.Hire, body.Number, body.Type, body.Yard, body.Loaners, names)
	if len(names) == 0 {
		answer(w, http.StatusServiceUnavailable, object{"error": "no capacity"})
		return
	}
	c.hires[body.Hire] = names
	answer(w, http.StatusOK, object{"rigs": names})
}

// boot makes a rented machine come up. The lock must be held.
func (c *Cloud) boot(rig *Rig) {
	if c.NextAddr != "" {
		rig.Addr, c.NextAddr = c.NextAddr, ""
	} else if addr, err := FreeAddr(); err == nil {
		rig.Addr = addr
	}
	time.AfterFunc(c.Boot(rig.Kind), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !rig.gone.IsZero() {
			return
		}
		rig.up = time.Now()
		worker, err := startWorker(c.ctx, rig, c.board, c.record, rotated(c.nodes), c.timing, 0)
		if err != nil {
			c.record.Say("cloud: %s does not come up: %v", rig.ID, err)
			return
		}
		rig.worker = worker
		c.record.Add("cloud: %s is up", rig.ID)
	})
	if c.Hired != nil {
		c.Hired(rig)
	}
}

// giveBack deletes machines.
func (c *Cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Rigs []string `json:"rigs"`
	}
	text, ok := readBody(r, bodyLimit)
	if !ok || json.Unmarshal(text, &body) != nil || len(body.Rigs) > maxReturn {
		answer(w, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	c.record.Add("cloud: asked to delete %v", body.Rigs)
	for _, rig := range c.rigs {
		if slices.Contains(body.Rigs, rig.ID) {
			c.end(rig, "machine deleted")
		}
	}
	answer(w, http.StatusOK, object{})
}

// Lock calls change while nothing else reads or changes the cloud.
func (c *Cloud) Lock(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// Joined returns how many machines are up and have had a report answered.
func (c *Cloud) Joined() int {
	count := 0
	for _, rig := range c.Rigs() {
		c.mu.Lock()
		worker := rig.worker
		c.mu.Unlock()
		if worker == nil {
			continue
		}
		worker.mu.Lock()
		if worker.joined && !worker.gone {
			count++
		}
		worker.mu.Unlock()
	}
	return count
}

// SetCut cuts direct calls to a machine off, or ends that.
func (c *Cloud) SetCut(rig *Rig, cut bool) {
	c.mu.Lock()
	worker := rig.worker
	c.mu.Unlock()
	if worker != nil {
		worker.SetCut(cut)
	}
}

// rotated returns the nodes with a random one of them first.
func rotated(nodes []Node) []Node {
	first := rand.IntN(len(nodes))
	return append(slices.Clone(nodes[first:]), nodes[:first]...)
}
