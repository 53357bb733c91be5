package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/applepier/applepier/internal/admin"
	"github.com/applepier/applepier/internal/entry/fleet"
	"github.com/applepier/applepier/internal/peer"
	"github.com/applepier/applepier/internal/storage"
)

const (
	// censusAge is how old what is known of the processes may be before they
	// are asked again.
	statusMaxAge = 300 * time.Millisecond
	// censusParallel is how many are asked at once; at the target size 1,610
	// answers of a millisecond or two take less than a tenth of a second.
	maxParallelQueries = 64
)

// census asks all processes which version of the targets they have in force.
// It does so only when an operator waits for a change or asks for the status:
// at 1,000 changes a day that is 19 small questions a second over the fleet.
type fleetStatus struct {
	self  func() admin.Process
	fleet *fleet.Fleet
	key   string

	// mu is held through a round of questions, so that several operators who
	// wait share it.
	mu          sync.Mutex
	processes   map[string]admin.Process
	refreshedAt time.Time
}

// Processes lists all processes of the VM list, and this one.
func (s *fleetStatus) Processes() []admin.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.refreshedAt) > statusMaxAge {
		s.refresh()
	}
	list := make([]admin.Process, 0, len(s.processes)+1)
	list = append(list, s.self())
	for _, p := range s.processes {
		list = append(list, p)
	}
	return list
}

func (s *fleetStatus) refresh() {
	vms, _ := s.fleet.VMs()
	workers := pool.NewWithResults[admin.Process]().WithMaxGoroutines(maxParallelQueries)
	for _, vm := range vms {
		if vm.Name != s.self().Name {
			workers.Go(func() admin.Process { return s.queryProcess(vm, s.processes[vm.Name]) })
		}
	}
	processes := make(map[string]admin.Process, len(vms))
	for _, p := range workers.Wait() {
		processes[p.Name] = p
	}
	s.processes = processes
	s.refreshedAt = time.Now()
}

// askOne keeps what was heard before, grown older, of one that doesn't answer.
func (s *fleetStatus) queryProcess(vm storage.VM, previous admin.Process) admin.Process {
	p := admin.Process{Name: vm.Name, Zone: vm.Zone, Role: roleName(vm.Role), Leaving: vm.Leaving}
	v, err := peer.AskVersion(context.Background(), vm.Addr, s.key)
	if err == nil && v.Process == vm.Name {
		p.Version = v.Targets
		p.Heard = true
		return p
	}
	p.Heard = previous.Heard
	p.Version = previous.Version
	p.Age = previous.Age + time.Since(s.refreshedAt)
	return p
}

func roleName(role storage.VMRole) string {
	if role == storage.RoleBackend {
		return "agent"
	}
	return "entry"
}

// Engines lists the backend servers whose agents this entry connects to, as
// the agents tell when asked.
func (s *fleetStatus) Engines() []admin.Engine {
	s.fleet.AskStatus(context.Background())
	var engines []admin.Engine
	for _, v := range s.fleet.Agents() {
		engines = append(engines, admin.Engine{
			VM:      v.VM.Name,
			Zone:    v.VM.Zone,
			Serves:  v.VM.Serves,
			Running: v.Running,
			Waiting: v.Waiting,
			Limit:   v.Limit,
			Leaving: v.Leaving,
			Down:    v.EngineDown,
			Heard:   !v.Seen.IsZero(),
			Age:     time.Since(v.Seen),
		})
	}
	return engines
}
