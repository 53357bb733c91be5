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

// Platform is the stand-in platform.
type Platform struct {
	*Process
	// URL is its base address.
	URL string
}

// PutVM puts a VM on the list, or replaces it there.
func (p *Platform) PutVM(ctx context.Context, vm storage.VM) error {
	_, err := call{method: http.MethodPut, url: p.vmURL(vm.Name), body: vm}.do(ctx)
	return err
}

// MarkLeaving marks a VM on the list as leaving.
func (p *Platform) MarkLeaving(ctx context.Context, name string) error {
	_, err := call{method: http.MethodPost, url: p.vmURL(name) + "/leaving"}.do(ctx)
	return err
}

// UpdateKnobs changes the platform's faults.
func (p *Platform) UpdateKnobs(ctx context.Context, change func(*standin.Knobs)) error {
	var knobs standin.Knobs
	if _, err := (call{method: http.MethodGet, url: p.URL + "/knobs", answer: &knobs}).do(ctx); err != nil {
		return err
	}
	change(&knobs)
	_, err := call{method: http.MethodPut, url: p.URL + "/knobs", body: knobs}.do(ctx)
	return err
}

// Stats reads the counts of calls that the platform has taken.
func (p *Platform) Stats(ctx context.Context) (standin.Stats, error) {
	var stats standin.Stats
	_, err := call{method: http.MethodGet, url: p.URL + "/stats", answer: &stats}.do(ctx)
	return stats, err
}

// Targets reads the newest targets that the table holds.
func (p *Platform) Targets(ctx context.Context) (*targets.Set, error) {
	return store.New(storage.NewHTTP(p.URL)).Load(ctx)
}

// writeTargets writes the first targets, before any entry runs: an entry is
// not ready without.
func (p *Platform) writeTargets(ctx context.Context, classes []targets.Class, customers []string) error {
	_, err := store.New(storage.NewHTTP(p.URL)).Change(ctx, 0, func(set *targets.Set) error {
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
