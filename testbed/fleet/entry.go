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

// Entry is the process of an entry VM.
type Entry struct {
	*Process
	// VM is the VM as the platform's VM list describes it.
	VM storage.VM
	// URL is the base URL for callers; AdminURL is the base URL of the administration API.
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
	process.ready = checkReadyz(adminAddr)
	vm := storage.VM{Name: name, Addr: adminAddr, Zone: f.zone(len(f.Entries)), Role: storage.RoleEntry}
	return &Entry{Process: process, VM: vm, URL: "http://" + addr, AdminURL: "http://" + adminAddr, fleet: f}, nil
}

func (f *Fleet) writeEntrySettings(name, addr, adminAddr string) (string, error) {
	platformAddr, err := f.routeAddr(Link{Kind: LinkPlatform, From: name, To: f.Platform.Name, Addr: f.Platform.Addr})
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
		CallerAuth:  settings.CallerAuth{TrustCustomerHeader: true},
		Log:         settings.Log{Level: f.options.LogLevel},
	})
}

func (e *Entry) start(ctx context.Context) error {
	if err := e.fleet.register(ctx, e.VM); err != nil {
		return err
	}
	return e.Process.start(ctx)
}

// AddEntry starts one more entry, for example to replace a VM, and waits until it is ready.
func (f *Fleet) AddEntry(ctx context.Context) (*Entry, error) {
	entry, err := f.newEntry()
	if err != nil {
		return nil, err
	}
	f.Entries = append(f.Entries, entry)
	return entry, entry.start(ctx)
}

// Targets returns the targets that the entry currently applies.
func (e *Entry) Targets(ctx context.Context) (*targets.Set, error) {
	return e.fleet.readTargets(ctx, e.VM.Addr)
}

// Targets returns the targets that the agent currently applies.
func (b *Backend) Targets(ctx context.Context) (*targets.Set, error) {
	return b.fleet.readTargets(ctx, b.Agent.Addr)
}

func (f *Fleet) readTargets(ctx context.Context, addr string) (*targets.Set, error) {
	state, err := peer.FetchState(ctx, addr, f.systemKey)
	return state.Targets, err
}

// changeResponse is the decoded part of the administration API's response to a change.
type changeResponse struct {
	Version uint64 `json:"version"`
}

// completionChange is the request body that changes a class's completion target.
type completionChange struct {
	Completion string `json:"completion"`
}

// SetCompletionTarget sets a class's completion latency target and returns the new
// version of the targets. If their current version isn't baseVersion, nothing
// changes and the error is a *StatusError.
func (e *Entry) SetCompletionTarget(ctx context.Context, class string, baseVersion uint64, completion time.Duration) (uint64, error) {
	header := http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(baseVersion, 10))}}
	var response changeResponse
	change := completionChange{Completion: completion.String()}
	_, err := e.callAdmin(ctx, http.MethodPatch, "/admin/v1/classes/"+url.PathEscape(class), header, change, &response)
	return response.Version, err
}

func (e *Entry) callAdmin(ctx context.Context, method, path string, header http.Header, body, response any) (http.Header, error) {
	if header == nil {
		header = http.Header{}
	}
	header.Set("Authorization", "Bearer "+e.fleet.OperatorKey)
	return call{method: method, url: e.AdminURL + path, header: header, body: body, response: response}.do(ctx)
}
