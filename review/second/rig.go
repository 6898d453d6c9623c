package second

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"lilacrill/wire"
)

// rig is a small deployment: three controllers as processes of their own, and the stand-ins.
type rig struct {
	trouble  bool // whether the disruption takes place
	dir      string
	run      []string // the command that starts a controller
	lease    time.Duration
	reportS  float64
	settings settings

	nodes       []*node
	publicAddrs []string
	peerAddrs   []string
	configs     []string
	state       *stateService
	cloud       *cloudService

	recordMu sync.Mutex
	record   *os.File
	start    time.Time
	logged   map[string]time.Time

	mu        sync.Mutex
	processes []*exec.Cmd
	jobs      map[wire.JobID]*job
	gangs     map[wire.JobID]map[wire.Attempt]int
	starts    []taskEvent
	ends      []taskEvent
	returns   []returnedMachine
	closers   []func()
	closing   bool
}

// taskEvent is the start or the end of a task on a machine.
type taskEvent struct {
	at      time.Time
	load    wire.TaskID
	try     wire.Attempt
	machine wire.MachineID
	how     string // for an end
}

// returnedMachine is the return of a machine to the cloud.
type returnedMachine struct {
	at      time.Time
	by      int // the controller that asked for it
	machine wire.MachineID
	active  []string // tasks on it that had not exited
}

const nodeCount = 3

// newRig opens the record. Nothing is started yet.
func newRig(recordPath string, trouble bool) (*rig, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	r := &rig{trouble: trouble, dir: dir, run: run, record: record, start: time.Now(), logged: map[string]time.Time{},
		jobs: map[wire.JobID]*job{}, gangs: map[wire.JobID]map[wire.Attempt]int{}, settings: solidarios()}
	for range nodeCount {
		r.nodes = append(r.nodes, &node{})
	}
	r.processes = make([]*exec.Cmd, nodeCount)
	r.log("trouble: %v", trouble)
	return r, nil
}

// runCommand reads the command that starts a controller from the deploy file.
func runCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return nil, fmt.Errorf("%w: deploy/service.toml has no run", errNotRun)
	}
	return strings.Fields(string(found[1])), nil
}

// log writes a line to the record.
func (r *rig) log(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// logSometimes writes a line to the record unless one with the same key was written a moment ago.
func (r *rig) logSometimes(key, format string, args ...any) {
	r.recordMu.Lock()
	recent := time.Since(r.logged[key]) < 5*time.Second
	if !recent {
		r.logged[key] = time.Now()
	}
	r.recordMu.Unlock()
	if !recent {
		r.log(format, args...)
	}
}

// onClose registers a function that close calls.
func (r *rig) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// repeat calls a function at intervals until the rig is closed.
func (r *rig) repeat(interval time.Duration, f func()) {
	stop := make(chan struct{})
	r.onClose(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(interval):
				f()
			}
		}
	}()
}

// close ends all processes that the rig started, and the stand-ins.
func (r *rig) close() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	for i := range r.nodes {
		r.kill(i)
	}
	r.mu.Lock()
	closers := r.closers
	r.mu.Unlock()
	for _, f := range closers {
		f()
	}
	r.logControllers()
	if kept := os.Getenv("REVIEW_KEEP"); kept != "" {
		_ = os.CopyFS(kept, os.DirFS(r.dir)) // the logs are only for the reader
	}
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// toldLines matches the lines of the controllers' logs that are copied into the record.
var toldLines = regexp.MustCompile(`level=ERROR|panic|leader for scaling|terminat|crash loop|lease of this controller`)

// logControllers copies what the controllers have logged about leaders and machines into the record.
func (r *rig) logControllers() {
	for i := range r.nodes {
		text, err := os.ReadFile(filepath.Join(r.dir, fmt.Sprintf("rig-%d.log", i)))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if toldLines.MatchString(line) {
				r.log("log of controller %d: %s", i, strings.TrimSpace(line))
			}
		}
	}
}

// freeAddr returns a free address of a loopback host that no other run uses, so that no outgoing
// connection takes the port before the controller does.
func freeAddr() (string, error) {
	pid := os.Getpid()
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.90.%d.%d:0", pid>>8&0xff, pid&0xff))
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNotRun, err)
	}
	return netAddr(listener), listener.Close()
}

// open starts the stand-ins and the controllers, and waits until the controllers answer.
func (r *rig) open(types []wire.MachineType, free map[offerKey]int, boot time.Duration) error {
	r.lease, r.reportS = seconds(r.settings.LeaseS), r.settings.ReportS
	r.state = newStateService(r)
	r.cloud = &cloudService{rig: r, types: types, boot: boot, listLag: seconds(r.settings.ListLagS), free: free, hires: map[string][]wire.MachineID{}}
	for range r.nodes {
		public, err := freeAddr()
		peer, err2 := freeAddr()
		if err := errors.Join(err, err2); err != nil {
			return err
		}
		r.publicAddrs, r.peerAddrs = append(r.publicAddrs, public), append(r.peerAddrs, peer)
	}
	for i := range r.nodes {
		if err := r.writeSettings(i); err != nil {
			return err
		}
	}
	for i := range r.nodes {
		if err := r.startController(i); err != nil {
			return err
		}
	}
	return r.await("all controllers are up", 20*time.Second, func() bool {
		for i := range r.nodes {
			if r.up(i) != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// writeSettings writes the settings file of a controller.
func (r *rig) writeSettings(i int) error {
	from := func(net.Conn) connInfo { return connInfo{node: i} }
	stateServer, state, err := serve(r.state.handler(i), from, func(int) *gate { return &r.nodes[i].state })
	if err != nil {
		return err
	}
	cloudServer, cloud, err := serve(r.cloud.handler(i), from, func(int) *gate { return &r.nodes[i].cloud })
	if err != nil {
		return err
	}
	r.onClose(func() { _, _ = stateServer.Close(), cloudServer.Close() })
	links := map[int]string{}
	for peer := range r.nodes {
		if peer != i {
			if links[peer], err = r.startPeerLink(i, peer); err != nil {
				return err
			}
		}
	}
	path := filepath.Join(r.dir, fmt.Sprintf("rig-%d.toml", i))
	r.configs = append(r.configs, path)
	text := r.settings.toml(i, r.publicAddrs[i], r.peerAddrs[i], state, cloud, links)
	return os.WriteFile(path, []byte(text), 0o600)
}

// startController starts a controller. Its log goes to a file beside the record.
func (r *rig) startController(i int) error {
	logFile, err := os.OpenFile(filepath.Join(r.dir, fmt.Sprintf("rig-%d.log", i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	process := exec.Command(r.run[0], append(slices.Clone(r.run[1:]), r.configs[i])...)
	process.Env = append(os.Environ(), "LOG_LEVEL=info")
	process.Stderr = logFile
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing {
		return errNotRun
	}
	if err := process.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	_ = logFile.Close() // the process has its own descriptor
	r.processes[i] = process
	r.log("controller %d started", i)
	return nil
}

// kill ends a controller without warning.
func (r *rig) kill(i int) {
	r.mu.Lock()
	process := r.processes[i]
	r.processes[i] = nil
	r.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		_ = process.Wait()
		r.log("controller %d killed", i)
	}
}

// pid returns the process id of a controller, or 0.
func (r *rig) pid(i int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.processes[i] == nil {
		return 0
	}
	return r.processes[i].Process.Pid
}

// await waits until a condition holds.
func (r *rig) await(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			r.log("%s", what)
			return nil
		}
	}
	return fmt.Errorf("%w: not in %v: %s", errNotRun, limit, what)
}

// firstNode returns the controller that a new worker reports to.
func (r *rig) firstNode(id wire.MachineID) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	return int(hash.Sum32() % nodeCount)
}

// nodeNamed returns the controller with a label, or notAnsweredNode.
func (r *rig) nodeNamed(label string) int {
	for i := range r.nodes {
		if label == nodeLabel(i) {
			return i
		}
	}
	return notAnsweredNode
}

// reportInterval returns the time to the next report: report_s, give or take a quarter.
func (r *rig) reportInterval() time.Duration { return seconds(r.reportS * (0.75 + rand.Float64()/2)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func nodeLabel(i int) string { return fmt.Sprint("rig-", i) }
