package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	submitFor     = 60 * time.Second
	retryPause    = time.Second
)

// Users submit jobs to the controllers, ask about them and cancel some. They try another controller
// after a failure, as through a load balancer.
type Users struct {
	record *Record
	board  *Board
	nodes  []Node
	client *http.Client
	next   int
}

// NewUsers returns users of the controllers.
func NewUsers(record *Record, board *Board, nodes []Node) *Users {
	return &Users{record: record, board: board, nodes: nodes, client: newClient()}
}

// Status is what a controller says of a job.
type Status struct {
	Code    int    `json:"-"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// ask sends a request to one controller.
func (u *Users) ask(node int, method, path string, body any, timeout time.Duration) Status {
	code, text := call(u.client, method, "http://"+u.nodes[node].Addr+path, body, timeout)
	status := Status{}
	if json.Unmarshal(text, &status) != nil {
		status = Status{}
	}
	status.Code = code
	u.record.Add("user: %s %s to %s: %d %s", method, path, u.nodes[node].Label, code, text)
	return status
}

// Submit submits a job until it is accepted or refused for good, for 60 s at most.
func (u *Users) Submit(job Job) error {
	u.next++
	return u.SubmitTo(u.next%len(u.nodes), job)
}

// SubmitTo does the same, to the given controller at first.
func (u *Users) SubmitTo(node int, job Job) error {
	u.board.Upload(job)
	for end := time.Now().Add(submitFor); time.Now().Before(end); time.Sleep(retryPause) {
		status := u.ask(node%len(u.nodes), http.MethodPost, "/work", job, submitTimeout)
		node++
		switch status.Code {
		case http.StatusOK, http.StatusCreated:
			return nil
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return fmt.Errorf("%s is refused with %d", job.ID, status.Code)
		}
	}
	return fmt.Errorf("%s is not accepted within %s", job.ID, submitFor)
}

// Poll asks a controller about a job, another one each time.
func (u *Users) Poll(id string) Status {
	u.next++
	return u.ask(u.next%len(u.nodes), http.MethodGet, "/work/"+id, nil, pollTimeout)
}
