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
	censusAge = 300 * time.Millisecond
	// censusParallel is how many are asked at once; at the target size 1,610
	// answers of a millisecond or two take less than a tenth of a second.
	censusParallel = 64
)

// census asks all processes which version of the targets they have in force.
// It does so only when an operator waits for a change or asks for the status:
// at 1,000 changes a day that is 19 small questions a second over the fleet.
type census struct {
	own   func() admin.Process
	fleet *fleet.Fleet
	key   string

	// mu is held through a round of questions, so that several operators who
	// wait share it.
	mu    sync.Mutex
	heard map[string]admin.Process
	asked time.Time
}

// Processes lists all processes of the VM list, and this one.
func (c *census) Processes() []admin.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.asked) > censusAge {
		c.ask()
	}
	list := make([]admin.Process, 0, len(c.heard)+1)
	list = append(list, c.own())
	for _, p := range c.heard {
		list = append(list, p)
	}
	return list
}

func (c *census) ask() {
	vms, _ := c.fleet.VMs()
	workers := pool.NewWithResults[admin.Process]().WithMaxGoroutines(censusParallel)
	for _, vm := range vms {
		if vm.Name != c.own().Name {
			workers.Go(func() admin.Process { return c.askOne(vm, c.heard[vm.Name]) })
		}
	}
	heard := make(map[string]admin.Process, len(vms))
	for _, p := range workers.Wait() {
		heard[p.Name] = p
	}
	c.heard = heard
	c.asked = time.Now()
}

// askOne keeps what was heard before, grown older, of one that doesn't answer.
func (c *census) askOne(vm storage.VM, before admin.Process) admin.Process {
	p := admin.Process{Name: vm.Name, Zone: vm.Zone, Role: roleOf(vm.Role), Leaving: vm.Leaving}
	v, err := peer.AskVersion(context.Background(), vm.Addr, c.key)
	if err == nil && v.Process == vm.Name {
		p.Version = v.Targets
		p.Heard = true
		return p
	}
	p.Heard = before.Heard
	p.Version = before.Version
	p.Age = before.Age + time.Since(c.asked)
	return p
}

func roleOf(role storage.VMRole) string {
	if role == storage.RoleBackend {
		return "agent"
	}
	return "entry"
}

// Engines lists the backend servers whose agents this entry connects to, as
// the agents tell when asked.
func (c *census) Engines() []admin.Engine {
	c.fleet.AskStatus(context.Background())
	var engines []admin.Engine
	for _, v := range c.fleet.Agents() {
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
