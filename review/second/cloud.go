package second

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"lilacrill/wire"
)

// offerKey names what the cloud may have or lack: a type in a zone, ordinary or spot.
type offerKey struct {
	machineType, zone string
	spot              bool
}

// cloudService is the cloud, behind an address of its own for each controller.
type cloudService struct {
	rig      *rig
	types    []wire.MachineType
	boot     time.Duration
	listLag  time.Duration
	mu       sync.Mutex
	free     map[offerKey]int // machines left to rent
	hires    map[string][]wire.MachineID
	machines []*machine
	vacant   []*address // of machines that are gone
}

// vacate takes back the address of a machine that is gone.
func (c *cloudService) vacate(a *address) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vacant = append(c.vacant, a)
}

// vacantAddress returns the address that was vacated first, or nil if there is none. The lock must be
// held.
func (c *cloudService) vacantAddress() *address {
	if len(c.vacant) == 0 {
		return nil
	}
	first := c.vacant[0]
	c.vacant = c.vacant[1:]
	return first
}

// machineOf returns the machine with a name, or nil.
func (c *cloudService) machineOf(id wire.MachineID) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

// setFree sets how many machines of an offer are left.
func (c *cloudService) setFree(key offerKey, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.free[key] = count
}

// setBoot sets how long the next machines take until they are up.
func (c *cloudService) setBoot(boot time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.boot = boot
}

// all returns all machines that there have been.
func (c *cloudService) all() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.machines)
}

// typeNamed returns a machine type of the catalogue.
func (c *cloudService) typeNamed(name string) (wire.MachineType, bool) {
	i := slices.IndexFunc(c.types, func(t wire.MachineType) bool { return t.Name == name })
	if i < 0 {
		return wire.MachineType{}, false
	}
	return c.types[i], true
}

// add adds a machine whose worker starts to report after the given time.
func (c *cloudService) add(key offerKey, boot time.Duration) *machine {
	machineType, _ := c.typeNamed(key.machineType)
	c.mu.Lock()
	id := wire.MachineID(fmt.Sprintf("m-%06d", len(c.machines)+1))
	m := newMachine(c.rig, id, machineType, key.zone, key.spot)
	m.address = c.vacantAddress()
	c.machines = append(c.machines, m)
	c.mu.Unlock()
	m.start(boot)
	return m
}

// handler returns the interface for one controller.
func (c *cloudService) handler(caller int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/catalog":
			writeJSON(w, http.StatusOK, wire.Catalogue{Types: c.types})
		case r.URL.Path == "/hosts" && r.Method == http.MethodGet:
			writeJSON(w, http.StatusOK, c.list(r))
		case r.URL.Path == "/hosts":
			c.hire(w, r, caller)
		case r.URL.Path == "/hosts/return":
			c.giveBack(w, r, caller)
		default:
			writeJSON(w, http.StatusBadRequest, refusal{"malformed"})
		}
	})
}

// list answers with the machines as they were listLag ago.
func (c *cloudService) list(r *http.Request) wire.MachineList {
	after := wire.MachineID(r.URL.Query().Get("after"))
	size, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || size > wire.MaxMachinesPerPage {
		size = wire.MaxMachinesPerPage
	}
	at := time.Now().Add(-c.listLag)
	list := wire.MachineList{Machines: []wire.CloudMachine{}}
	for _, m := range c.all() {
		if listed, ok := m.listedAt(at); ok && m.id > after {
			if len(list.Machines) == size {
				list.More = true
				break
			}
			list.Machines = append(list.Machines, listed)
		}
	}
	return list
}

func (c *cloudService) hire(w http.ResponseWriter, r *http.Request, caller int) {
	var request wire.ProvisionRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Count < 1 || request.Count > wire.MaxProvision {
		writeJSON(w, http.StatusBadRequest, refusal{"malformed"})
		return
	}
	key := offerKey{request.Type, request.Zone, request.Spot}
	c.mu.Lock()
	names, repeated := c.hires[request.Name]
	count := min(request.Count, c.free[key])
	if !repeated {
		c.free[key] -= count
	}
	boot := c.boot
	c.mu.Unlock()
	if !repeated {
		for range count {
			names = append(names, c.add(key, boot).id)
		}
	}
	if len(names) == 0 {
		c.rig.logSometimes("no capacity "+request.Type+request.Zone, "cloud: controller %d asks for %d %s in %s, spot %v: none left", caller, request.Count, request.Type, request.Zone, request.Spot)
		writeJSON(w, http.StatusServiceUnavailable, refusal{"no capacity"})
		return
	}
	c.mu.Lock()
	c.hires[request.Name] = names
	c.mu.Unlock()
	c.rig.log("cloud: controller %d rents %v (%s in %s, spot %v, hire %s)", caller, names, request.Type, request.Zone, request.Spot, request.Name)
	writeJSON(w, http.StatusOK, wire.MachineNames{Names: names})
}

func (c *cloudService) giveBack(w http.ResponseWriter, r *http.Request, caller int) {
	var names wire.MachineNames
	if json.NewDecoder(r.Body).Decode(&names) != nil || len(names.Names) > wire.MaxTerminate {
		writeJSON(w, http.StatusBadRequest, refusal{"malformed"})
		return
	}
	for _, id := range names.Names {
		m := c.machineOf(id)
		if m == nil || m.isGone() {
			continue
		}
		active := m.active()
		m.end("returned")
		c.rig.noteReturn(returnedMachine{at: time.Now(), by: caller, machine: id, active: active})
		c.mu.Lock()
		c.free[offerKey{m.machineType.Name, m.zone, m.spot}]++
		c.mu.Unlock()
		c.rig.log("cloud: controller %d returns %s, on which %d tasks are active: %s", caller, id, len(active), strings.Join(active, " "))
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
