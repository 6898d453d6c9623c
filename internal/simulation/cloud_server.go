package simulation

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"

	"lilacrill/wire"
)

// CloudServer is a fake of the cloud over HTTP.
type CloudServer struct {
	Types []wire.MachineType
	// Machines, unless nil, returns the machines that were provisioned before, in any order.
	Machines func() []wire.CloudMachine
	// Provision, unless nil, returns the machines for a request. Without it, or if it returns none,
	// there is no capacity.
	Provision func(wire.ProvisionRequest) []wire.MachineID
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
		s.serveProvision(w, r)
	default:
		var names wire.MachineNames
		if json.NewDecoder(r.Body).Decode(&names) == nil && s.Terminate != nil {
			s.Terminate(names.Names)
		}
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (s CloudServer) serveProvision(w http.ResponseWriter, r *http.Request) {
	var request wire.ProvisionRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeMalformed(w)
		return
	}
	var names []wire.MachineID
	if s.Provision != nil {
		names = s.Provision(request)
	}
	if len(names) == 0 {
		writeJSON(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
		return
	}
	writeJSON(w, http.StatusOK, wire.MachineNames{Names: names})
}

// machinePage returns the part of the machine list that a request selects.
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
	if size, err := strconv.Atoi(r.URL.Query().Get("page")); err == nil && size < len(list.Machines) {
		list.Machines, list.More = list.Machines[:size], true
	}
	return list
}
