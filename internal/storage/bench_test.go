package storage

import (
	"encoding/json"
	"fmt"
	"testing"
)

// vmCount is the length of the VM list at the system's target size: 410 entry
// VMs and 1,200 backend server VMs.
const vmCount = 1610

// BenchmarkVMList measures decoding the whole VM list. The metric json-B is its
// encoded size in bytes.
func BenchmarkVMList(b *testing.B) {
	var vms []VM
	for i := range vmCount {
		vms = append(vms, VM{
			Name: fmt.Sprintf("backend-%04d", i), Addr: fmt.Sprintf("10.0.%d.%d:8090", i/256, i%256),
			Zone: fmt.Sprintf("zone-%02d", i%12), Role: RoleBackend, Serves: fmt.Sprintf("model-%02d", i%12),
		})
	}
	data, err := json.Marshal(vms)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var read []VM
		if err := json.Unmarshal(data, &read); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "json-B")
}
