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

// MachineList is the lagging machine list: a change is seen only after the lag. It is safe for concurrent use.
type MachineList struct {
	mu       sync.Mutex
	lag      time.Duration
	revision uint64
	present  map[string]machines.Machine
	changes  []machineChange
}

type machineChange struct {
	visible time.Time
	machine machines.Machine
	removed bool
}

// NewMachineList returns an empty list.
func NewMachineList(lag time.Duration) *MachineList {
	return &MachineList{lag: lag, present: make(map[string]machines.Machine)}
}

// Put adds or changes a machine.
func (list *MachineList) Put(machine machines.Machine) {
	list.change(machineChange{machine: machine})
}

// Remove takes a machine off the list.
func (list *MachineList) Remove(id string) {
	list.change(machineChange{machine: machines.Machine{ID: id}, removed: true})
}

func (list *MachineList) change(change machineChange) {
	list.mu.Lock()
	defer list.mu.Unlock()
	change.visible = time.Now().Add(list.lag)
	list.changes = append(list.changes, change)
}

// settle makes due changes visible; must hold mu.
func (list *MachineList) settle() {
	now := time.Now()
	for len(list.changes) > 0 && !list.changes[0].visible.After(now) {
		change := list.changes[0]
		list.changes = list.changes[1:]
		list.revision++
		if change.removed {
			delete(list.present, change.machine.ID)
			continue
		}
		list.present[change.machine.ID] = change.machine
	}
}

// Handler serves GET /v1/machines.
func (list *MachineList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/machines", func(writer http.ResponseWriter, request *http.Request) {
		after, _ := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
		list.mu.Lock()
		defer list.mu.Unlock()
		list.settle()
		if list.revision <= after {
			writer.WriteHeader(http.StatusNotModified)
			return
		}
		answer := machines.List{Revision: list.revision}
		for _, machine := range list.present {
			answer.Machines = append(answer.Machines, machine)
		}
		slices.SortFunc(answer.Machines, func(a, b machines.Machine) int { return strings.Compare(a.ID, b.ID) })
		writeJSON(writer, http.StatusOK, answer)
	})
	return mux
}
