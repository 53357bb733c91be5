package fleet

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/applepier/applepier/internal/storage"
)

// subset selects the agents that this entry connects to, up to subsetSize for
// each model and plain service. Rendezvous hashing keeps the selection
// stable as VMs come and go, and spreads entries evenly over agents.
func (f *Fleet) subset(vms []storage.VM) map[string]storage.VM {
	byServes := make(map[string][]storage.VM)
	for _, vm := range vms {
		if vm.Role == storage.RoleBackend {
			byServes[vm.Serves] = append(byServes[vm.Serves], vm)
		}
	}
	wanted := make(map[string]storage.VM)
	for _, group := range byServes {
		slices.SortFunc(group, f.compareRendezvous)
		for _, vm := range group[:min(len(group), subsetSize)] {
			wanted[vm.Name] = vm
		}
	}
	return wanted
}

// compareRendezvous orders VMs by a hash of this entry's name and the VM's name.
func (f *Fleet) compareRendezvous(a, b storage.VM) int {
	hashA := xxhash.Sum64String(f.config.Process + "/" + a.Name)
	hashB := xxhash.Sum64String(f.config.Process + "/" + b.Name)
	if hashA != hashB {
		if hashA < hashB {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}
