package fleet

import (
	"context"
	"fmt"
	"net/http"

	"github.com/applepier/applepier/internal/platform"
	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/targets"
)

// Entry is an entry VM's process.
type Entry struct {
	*Process
	// VM is its row in the platform's list.
	VM platform.VM
	// URL is the base address for callers, AdminURL that for operators.
	URL      string
	AdminURL string

	fleet *Fleet
}

func (f *Fleet) newEntry() (*Entry, error) {
	name := fmt.Sprintf("entry-%d", len(f.Entries))
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	adminAddr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	path, err := f.writeEntrySettings(name, addr, adminAddr)
	if err != nil {
		return nil, err
	}
	process := f.newProcess(name, addr, f.options.Binaries.Entry, "serve", "--settings", path)
	process.ready = httpReady(adminAddr)
	vm := platform.VM{Name: name, Addr: adminAddr, Zone: f.zone(len(f.Entries)), Role: platform.RoleEntry}
	return &Entry{Process: process, VM: vm, URL: "http://" + addr, AdminURL: "http://" + adminAddr, fleet: f}, nil
}

func (f *Fleet) writeEntrySettings(name, addr, adminAddr string) (string, error) {
	platformAddr, err := f.route(Link{Kind: LinkPlatform, From: name, To: f.Platform.Name, Addr: f.Platform.Addr})
	if err != nil {
		return "", err
	}
	return f.writeSettings(name, settings.Entry{
		Process:     name,
		Zone:        f.zone(len(f.Entries)),
		Listen:      addr,
		AdminListen: adminAddr,
		Platform:    settings.Platform{URL: "http://" + platformAddr},
		Seeds:       f.seeds(),
		Keys:        f.keys.settings(),
		Callers:     settings.Callers{TrustCustomerHeader: true},
		Log:         settings.Log{Level: f.options.LogLevel},
	})
}

func (e *Entry) start(ctx context.Context) error {
	if err := e.fleet.register(ctx, e.VM); err != nil {
		return err
	}
	return e.Process.start(ctx)
}

// AddEntry starts one more entry, as when a VM is replaced.
func (f *Fleet) AddEntry(ctx context.Context) (*Entry, error) {
	entry, err := f.newEntry()
	if err != nil {
		return nil, err
	}
	f.Entries = append(f.Entries, entry)
	return entry, entry.start(ctx)
}

// Classes is the answer of the administration API's list of classes.
type Classes struct {
	// Version is that of the targets in force at the asked entry.
	Version uint64          `json:"version"`
	Classes []targets.Class `json:"classes"`
}

// Version reads the version of the targets that the entry has in force.
func (e *Entry) Version(ctx context.Context) (uint64, error) {
	var classes Classes
	_, err := e.admin(ctx, http.MethodGet, "/admin/v1/classes", nil, nil, &classes)
	return classes.Version, err
}

func (e *Entry) admin(ctx context.Context, method, path string, header http.Header, body, answer any) (http.Header, error) {
	if header == nil {
		header = http.Header{}
	}
	header.Set("Authorization", "Bearer "+e.fleet.OperatorKey)
	return call{method: method, url: e.AdminURL + path, header: header, body: body, answer: answer}.do(ctx)
}
