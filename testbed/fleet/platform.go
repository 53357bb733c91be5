package fleet

import (
	"context"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/auth"
	"github.com/applepier/applepier/internal/storage"
	"github.com/applepier/applepier/internal/targets"
	"github.com/applepier/applepier/internal/targets/store"
	standin "github.com/applepier/applepier/testbed/platform"
)

// Platform is the process of the stand-in platform.
type Platform struct {
	*Process
	// URL is the platform's base URL.
	URL string
}

// PutVM adds a VM to the VM list or replaces the listed VM of the same name.
func (p *Platform) PutVM(ctx context.Context, vm storage.VM) error {
	_, err := call{method: http.MethodPut, url: p.vmURL(vm.Name), body: vm}.do(ctx)
	return err
}

// MarkDraining marks a VM in the VM list as draining.
func (p *Platform) MarkDraining(ctx context.Context, name string) error {
	_, err := call{method: http.MethodPost, url: p.vmURL(name) + "/leaving"}.do(ctx)
	return err
}

// UpdateKnobs reads the platform's fault settings, applies change and writes them back.
func (p *Platform) UpdateKnobs(ctx context.Context, change func(*standin.Knobs)) error {
	var knobs standin.Knobs
	if _, err := (call{method: http.MethodGet, url: p.URL + "/knobs", response: &knobs}).do(ctx); err != nil {
		return err
	}
	change(&knobs)
	_, err := call{method: http.MethodPut, url: p.URL + "/knobs", body: knobs}.do(ctx)
	return err
}

// Stats returns the platform's request counters.
func (p *Platform) Stats(ctx context.Context) (standin.Stats, error) {
	var stats standin.Stats
	_, err := call{method: http.MethodGet, url: p.URL + "/stats", response: &stats}.do(ctx)
	return stats, err
}

// Targets returns the latest targets stored in the table.
func (p *Platform) Targets(ctx context.Context) (*targets.Set, error) {
	return store.New(storage.NewHTTPClient(p.URL)).Load(ctx)
}

// writeTargets writes the initial targets. It runs before any entry starts,
// since an entry doesn't become ready without targets.
func (p *Platform) writeTargets(ctx context.Context, classes []targets.Class, customers []string) error {
	_, err := store.New(storage.NewHTTPClient(p.URL)).Change(ctx, 0, func(set *targets.Set) error {
		set.Classes = append(set.Classes, classes...)
		for _, name := range customers {
			set.Customers = append(set.Customers, targets.Customer{Name: name, KeyHash: auth.HashKey(CustomerKey(name))})
		}
		return nil
	})
	if err != nil {
		return errors.Wrap(err, "write targets")
	}
	return nil
}

func (p *Platform) vmURL(name string) string { return p.URL + "/vms/" + url.PathEscape(name) }
