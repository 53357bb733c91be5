package fleet

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/applepier/applepier/internal/storage"
)

// subset picks, for each model and service, the agents this entry connects
// to, by rendezvous hashing: stable as VMs come and go, and even over entries.
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

func (f *Fleet) compareRendezvous(a, b storage.VM) int {
	ha := xxhash.Sum64String(f.config.Process + "/" + a.Name)
	hb := xxhash.Sum64String(f.config.Process + "/" + b.Name)
	if ha != hb {
		if ha < hb {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}
