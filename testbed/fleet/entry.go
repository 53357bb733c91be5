package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/applepier/applepier/internal/peer"
	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/targets"
)

// Entry is an entry VM's process.
type Entry struct {
	*Process
	// VM is its row in the platform's list.
	VM storage.VM
	// URL is the base address for callers, AdminURL that for operators.
	URL      string
	AdminURL string

	fleet *Fleet
}

func (f *Fleet) newEntry() (*Entry, error) {
	name := fmt.Sprintf("entry-%d", len(f.Entries))
	addr, err := f.newAddr()
	if err != nil {
		return nil, err
	}
	adminAddr, err := f.newAddr()
	if err != nil {
		return nil, err
	}
	path, err := f.writeEntrySettings(name, addr, adminAddr)
	if err != nil {
		return nil, err
	}
	process := f.newProcess(name, addr, f.options.Binaries.Entry, "serve", "--settings", path)
	process.ready = httpReady(adminAddr)
	vm := storage.VM{Name: name, Addr: adminAddr, Zone: f.zone(len(f.Entries)), Role: storage.RoleEntry}
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

// Targets reads the targets that the entry has in force.
func (e *Entry) Targets(ctx context.Context) (*targets.Set, error) {
	return e.fleet.targetsOf(ctx, e.VM.Addr)
}

// Targets reads the targets that the agent has in force.
func (b *Backend) Targets(ctx context.Context) (*targets.Set, error) {
	return b.fleet.targetsOf(ctx, b.Agent.Addr)
}

func (f *Fleet) targetsOf(ctx context.Context, addr string) (*targets.Set, error) {
	state, err := peer.Ask(ctx, addr, f.systemKey)
	return state.Targets, err
}

// changeAnswer is the part of the administration API's answer that is read.
type changeAnswer struct {
	Version uint64 `json:"version"`
}

// completionChange is a change of one field.
type completionChange struct {
	Completion string `json:"completion"`
}

// SetCompletion changes a class's latency target to completion, upon a
// version of the targets, and returns the new version once it is accepted.
func (e *Entry) SetCompletion(ctx context.Context, class string, base uint64, completion time.Duration) (uint64, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(base, 10))}}
	var answer changeAnswer
	change := completionChange{Completion: completion.String()}
	_, err := e.admin(ctx, http.MethodPatch, "/admin/v1/classes/"+url.PathEscape(class), header, change, &answer)
	return answer.Version, err
}

func (e *Entry) admin(ctx context.Context, method, path string, header http.Header, body, answer any) (http.Header, error) {
	if header == nil {
		header = http.Header{}
	}
	header.Set("Authorization", "Bearer "+e.fleet.OperatorKey)
	return call{method: method, url: e.AdminURL + path, header: header, body: body, answer: answer}.do(ctx)
}
