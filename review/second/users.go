package second

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"lilacrill/wire"
)

// job is a job that a user has uploaded.
type job struct {
	spec    wire.JobSpec
	runtime time.Duration // of a task; 0 for a service
}

// newJob returns a job of one team with plain fields.
func newJob(id string, shape wire.Shape, rank wire.Priority, loads int, cores, accelerators, memGB float64, runtime time.Duration) *job {
	return &job{runtime: runtime, spec: wire.JobSpec{ID: wire.JobID(id), Class: "class-" + string(shape), Team: "despacho", Shape: shape, Priority: rank,
		Tasks: loads, Cores: cores, Accelerators: accelerators, MemGB: memGB, Image: "img-1", ImageGB: 0.1, RuntimeS: runtime.Seconds()}}
}

// submission returns the body of POST /work, with all fields.
func (j *job) submission() map[string]any {
	s := &j.spec
	body := map[string]any{"id": s.ID, "jobclass": s.Class, "crew": s.Team, "shape": s.Shape, "rank": s.Priority, "loads": s.Tasks,
		"cores": s.Cores, "accelerators": s.Accelerators, "mem_gb": s.MemGB, "kit": s.Image, "size_gb": s.ImageGB, "rigtypes": nil, "yard": nil,
		"together": s.SingleZone, "apart": s.SpreadZones, "loaners": s.Spot, "runtime_s": s.RuntimeS, "savepoint_s": s.CheckpointIntervalS,
		"stash_s": s.CheckpointSaveS, "due_s": nil}
	if len(s.Types) > 0 {
		body["rigtypes"] = s.Types
	}
	if s.Zone != "" {
		body["yard"] = s.Zone
	}
	return body
}

var userClient = &http.Client{Timeout: 5 * time.Second}

// call sends a user's request to a controller. The status is 0 without an answer.
func (r *rig) call(method string, node int, path string, body any) (status int, answer wire.JobStatus) {
	var encoded io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, answer
		}
		encoded = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, "http://"+r.publicAddrs[node]+path, encoded)
	if err != nil {
		return 0, answer
	}
	response, err := userClient.Do(request)
	if err != nil {
		return 0, answer
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&answer) // an error leaves the answer empty
	return response.StatusCode, answer
}

// up returns the status of a controller's health check, or 0.
func (r *rig) up(node int) int {
	status, _ := r.call(http.MethodGet, node, "/up", nil)
	return status
}

// submit uploads a job and submits it until it is accepted.
func (r *rig) submit(j *job, nodes ...int) error {
	r.mu.Lock()
	r.jobs[j.spec.ID] = j
	r.mu.Unlock()
	for try := range 20 {
		node := nodes[try%len(nodes)]
		status, answer := r.call(http.MethodPost, node, "/work", j.submission())
		r.log("user: POST /work %s to controller %d: %d %s", j.spec.ID, node, status, answer.Status)
		if status == http.StatusCreated || status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("%w: %s is not accepted", errNotRun, j.spec.ID)
}

// cancel cancels a job until that is confirmed, and returns the answer's status.
func (r *rig) cancel(id wire.JobID, nodes ...int) (wire.Status, error) {
	for try := range 20 {
		node := nodes[try%len(nodes)]
		status, answer := r.call(http.MethodPost, node, "/work/"+string(id)+"/cancel", nil)
		r.log("user: POST /work/%s/cancel to controller %d: %d %s", id, node, status, answer.Status)
		if status == http.StatusOK {
			return answer.Status, nil
		}
		time.Sleep(time.Second)
	}
	return "", fmt.Errorf("%w: %s cannot be cancelled", errNotRun, id)
}

// poll asks a controller about a job.
func (r *rig) poll(id wire.JobID, node int) (int, wire.JobStatus) {
	status, answer := r.call(http.MethodGet, node, "/work/"+string(id), nil)
	r.log("user: GET /work/%s at controller %d: %d %s done %d running %d", id, node, status, answer.Status, answer.Done, answer.Running)
	return status, answer
}
