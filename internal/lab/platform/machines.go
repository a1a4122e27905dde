package platform

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/machines"
)

// MachineList is a machine list that shows each change only after a fixed lag. It is safe for concurrent use.
type MachineList struct {
	mu       sync.Mutex
	lag      time.Duration
	revision uint64
	current  map[string]machines.Machine
	changes  []machineChange // not yet visible, oldest first
}

type machineChange struct {
	visibleAt time.Time
	machine   machines.Machine
	removed   bool
}

// NewMachineList returns an empty list whose changes become visible after lag.
func NewMachineList(lag time.Duration) *MachineList {
	return &MachineList{lag: lag, current: make(map[string]machines.Machine)}
}

// Put adds or replaces a machine.
func (list *MachineList) Put(machine machines.Machine) {
	list.change(machineChange{machine: machine})
}

// Remove deletes a machine from the list.
func (list *MachineList) Remove(id string) {
	list.change(machineChange{machine: machines.Machine{ID: id}, removed: true})
}

func (list *MachineList) change(change machineChange) {
	list.mu.Lock()
	defer list.mu.Unlock()
	change.visibleAt = time.Now().Add(list.lag)
	list.changes = append(list.changes, change)
}

// applyDue applies the changes whose lag has passed. The caller must hold mu.
func (list *MachineList) applyDue() {
	now := time.Now()
	for len(list.changes) > 0 && !list.changes[0].visibleAt.After(now) {
		change := list.changes[0]
		list.changes = list.changes[1:]
		list.revision++
		if change.removed {
			delete(list.current, change.machine.ID)
			continue
		}
		list.current[change.machine.ID] = change.machine
	}
}

// Handler serves GET /v1/machines.
func (list *MachineList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(writer http.ResponseWriter, request *http.Request) {
		after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
		list.mu.Lock()
		defer list.mu.Unlock()
		list.applyDue()
		if list.revision <= after {
			writer.WriteHeader(http.StatusNotModified)
			return
		}
		response := machines.List{Revision: list.revision}
		for _, machine := range list.current {
			response.Machines = append(response.Machines, machine)
		}
		slices.SortFunc(response.Machines, func(a, b machines.Machine) int { return strings.Compare(a.ID, b.ID) })
		writeJSON(writer, http.StatusOK, response)
	})
	return mux
}
