package second

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"lilacrill/internal/httpcall"
	"lilacrill/wire"
)

const (
	machineStep     = 50 * time.Millisecond
	reportPause     = 500 * time.Millisecond // the shortest time between two reports
	reportTimeout   = 4 * time.Second
	nextNodeDelay   = time.Second
	maxListedAfter  = 100 * time.Hour
	notAnsweredNode = -1
)

// attempt is one attempt of a task.
type attempt struct {
	load wire.TaskID
	try  wire.Attempt
}

// taskRun is an attempt on a machine.
type taskRun struct {
	status   wire.TaskStatus
	job      *job
	pullLeft time.Duration
	runLeft  time.Duration // of a task that ends by itself
	started  time.Time     // when it had its image
}

// machine is a machine with its worker.
type machine struct {
	rig         *rig
	id          wire.MachineID
	machineType wire.MachineType
	zone        string
	spot        bool
	address     *address
	addr        string
	hung        gate // a hanging machine does nothing and answers nothing

	mu        sync.Mutex
	created   time.Time
	upAt      time.Time // zero while it boots
	goneAt    time.Time // zero while it is there
	tasks     map[attempt]*taskRun
	images    map[string]bool
	shift     wire.AgentEpoch
	tally     wire.Sequence
	baton     wire.FencingToken
	leaseFrom time.Time
	reported  time.Time // when the last report was sent
	node      int       // gets the reports
	changed   bool
	stop      chan struct{}
}

func newMachine(r *rig, id wire.MachineID, machineType wire.MachineType, zone string, spot bool) *machine {
	return &machine{rig: r, id: id, machineType: machineType, zone: zone, spot: spot, created: time.Now(),
		tasks: map[attempt]*taskRun{}, images: map[string]bool{}, shift: 1, stop: make(chan struct{})}
}

// start starts the machine. Its worker is up after the given time.
func (m *machine) start(boot time.Duration) {
	if m.address == nil {
		a, err := m.rig.newAddress()
		if err != nil {
			m.rig.log("machine %s cannot be started: %v", m.id, err)
			return
		}
		m.address = a
	}
	m.addr = m.address.addr
	go func() {
		time.Sleep(boot)
		m.address.assign(m)
		m.mu.Lock()
		m.upAt, m.leaseFrom = time.Now(), time.Now()
		m.node = m.rig.firstNode(m.id)
		m.mu.Unlock()
		m.rig.log("machine %s is up at %s: %s in %s, spot %v", m.id, m.addr, m.machineType.Name, m.zone, m.spot)
		go m.runTasks()
		m.report()
	}()
}

// end ends the machine and everything on it.
func (m *machine) end(how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.goneAt.IsZero() {
		return
	}
	m.goneAt = time.Now()
	close(m.stop)
	m.endTasks(how)
	m.hung.set(true) // connections to it hang and give no error
	m.rig.cloud.vacate(m.address)
}

// endTasks ends and forgets all tasks. The lock must be held.
func (m *machine) endTasks(how string) {
	for key, run := range m.tasks {
		if run.status.State != wire.TaskExited {
			m.rig.noteEnd(m, key, run, how)
		}
	}
	clear(m.tasks)
}

func (m *machine) isGone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.goneAt.IsZero()
}

// isUp reports whether the worker is up.
func (m *machine) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.upAt.IsZero() && m.goneAt.IsZero()
}

// sinceReport returns the time since the machine sent its last report.
func (m *machine) sinceReport() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.reported)
}

// active returns the tasks on the machine that have not exited.
func (m *machine) active() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for key, run := range m.tasks {
		if run.status.State != wire.TaskExited {
			names = append(names, key.load.String())
		}
	}
	return names
}

// freeFor reports whether the machine is up and has room for one more task of a job, and may take it.
func (m *machine) freeFor(j *job) bool {
	if !m.isUp() || m.hung.isClosed() || m.spot && !j.spec.Spot {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	cores, accelerators, memory := m.freeResources()
	return cores >= j.spec.Cores && accelerators >= j.spec.Accelerators && memory >= j.spec.MemGB
}

// freeResources returns what is free on the machine. The lock must be held.
func (m *machine) freeResources() (cores, accelerators, memory float64) {
	cores, accelerators, memory = m.machineType.Cores, m.machineType.Accelerators, m.machineType.MemGB
	for _, run := range m.tasks {
		if run.status.State != wire.TaskExited {
			cores, accelerators, memory = cores-run.job.spec.Cores, accelerators-run.job.spec.Accelerators, memory-run.job.spec.MemGB
		}
	}
	return cores, accelerators, memory
}

// listedAt returns the machine as a list shows it that describes the given time.
func (m *machine) listedAt(at time.Time) (wire.CloudMachine, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Before(m.created) || !m.goneAt.IsZero() && at.After(m.goneAt) {
		return wire.CloudMachine{}, false
	}
	status := wire.MachineBooting
	if !m.upAt.IsZero() && !at.Before(m.upAt) {
		status = wire.MachineRunning
	}
	return wire.CloudMachine{ID: m.id, Addr: m.addr, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		Status: status, AgeS: min(at.Sub(m.created), maxListedAfter).Seconds()}, true
}

// heartbeat returns a report. The lock must be held.
func (m *machine) heartbeat() *wire.Heartbeat {
	m.tally++
	report := &wire.Heartbeat{Machine: m.id, Addr: m.addr, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		AgentEpoch: m.shift, Sequence: m.tally, Token: m.baton, Tasks: []wire.TaskStatus{}}
	for _, run := range m.tasks {
		report.Tasks = append(report.Tasks, run.status)
	}
	return report
}

// ServeHTTP answers direct calls.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.hung.wait()
	if !m.isUp() {
		panic(http.ErrAbortHandler)
	}
	var body wire.CommandRequest
	direct := strings.HasPrefix(r.URL.Path, "/do")
	if direct && json.NewDecoder(r.Body).Decode(&body) != nil {
		writeJSON(w, http.StatusBadRequest, refusal{"malformed"})
		return
	}
	m.mu.Lock()
	m.expireLease()
	status := http.StatusOK
	if direct {
		if body.Token < m.baton || body.AgentEpoch != m.shift {
			status = http.StatusConflict
		} else {
			m.noteToken(body.Token)
			m.execute(body.Commands)
		}
	}
	report := m.heartbeat()
	m.mu.Unlock()
	writeJSON(w, status, report)
}

// noteToken keeps the highest token. The lock must be held.
func (m *machine) noteToken(token wire.FencingToken) {
	if token > m.baton {
		m.baton, m.changed = token, true
	}
}

// expireLease begins the next session if the lease has run out. The lock must be held.
func (m *machine) expireLease() {
	if time.Since(m.leaseFrom) <= m.rig.lease {
		return
	}
	m.rig.log("machine %s: lease ran out, session %d ends", m.id, m.shift)
	m.endTasks("lease ran out")
	m.shift++
	m.tally, m.leaseFrom, m.changed = 0, time.Now(), true
}

// report sends reports until the machine is gone.
func (m *machine) report() {
	client := map[int]*httpcall.Client{}
	for {
		m.hung.wait()
		m.mu.Lock()
		m.expireLease()
		node, sentAt, report := m.node, time.Now(), m.heartbeat()
		m.changed, m.reported = false, sentAt
		m.mu.Unlock()
		if client[node] == nil {
			client[node] = httpcall.New(m.rig.publicAddrs[node], 1, time.Minute)
		}
		next, pause := m.send(client[node], node, sentAt, report)
		m.mu.Lock()
		m.node = next
		m.mu.Unlock()
		if !m.pause(pause) {
			return
		}
	}
}

// pause waits until the next report is due, and reports whether the machine is still there.
func (m *machine) pause(longest time.Duration) bool {
	for waited := time.Duration(0); waited < longest; waited += machineStep {
		select {
		case <-m.stop:
			return false
		case <-time.After(machineStep):
		}
		m.mu.Lock()
		due := m.changed && waited >= reportPause
		m.mu.Unlock()
		if due {
			break
		}
	}
	return true
}

// send sends a report to a controller. It returns which controller gets the next one, and when.
func (m *machine) send(client *httpcall.Client, node int, sentAt time.Time, report *wire.Heartbeat) (next int, pause time.Duration) {
	other := (node + 1) % len(m.rig.nodes)
	workers := &m.rig.nodes[node].workers
	if workers.isClosed() {
		time.Sleep(reportTimeout) // no answer
		return other, nextNodeDelay
	}
	var response wire.HeartbeatResponse
	var redirect wire.Redirect
	status, err := client.Call(http.MethodPost, "/hello", report, reportTimeout,
		httpcall.Destinations{http.StatusOK: &response, http.StatusMisdirectedRequest: &redirect})
	m.hung.wait()
	switch {
	case err != nil || workers.isClosed() || time.Since(sentAt) > reportTimeout:
		return other, nextNodeDelay
	case status == http.StatusOK:
		m.handleResponse(report, sentAt, &response)
		return node, m.rig.reportInterval()
	case status == http.StatusMisdirectedRequest:
		if named := m.rig.nodeNamed(redirect.Controller); named != notAnsweredNode && named != node {
			return named, machineStep
		}
	}
	return other, nextNodeDelay
}

// handleResponse renews the lease and executes the commands of an answer that counts.
func (m *machine) handleResponse(report *wire.Heartbeat, sentAt time.Time, response *wire.HeartbeatResponse) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if report.AgentEpoch != m.shift || response.Token < m.baton {
		return
	}
	m.noteToken(response.Token)
	m.leaseFrom = sentAt
	m.execute(response.Commands)
}

// netAddr returns the loopback address that a listener is bound to.
func netAddr(listener net.Listener) string { return listener.Addr().String() }
