package fleet

import (
	"context"
	"fmt"

	"github.com/applepier/applepier/internal/settings"
	"github.com/applepier/applepier/internal/storage"
)

// Backend is a backend server VM, which runs a server and its agent.
type Backend struct {
	// VM is the VM as the platform's VM list describes it.
	VM storage.VM
	// Server is the engine or plain service; Agent is the agent process on the same VM.
	Server *Server
	Agent  *Process

	fleet *Fleet
}

func (f *Fleet) newBackend(spec BackendSpec) (*Backend, error) {
	number := len(f.Backends)
	name := fmt.Sprintf("vm-%s-%d", spec.Serves, number)
	server, err := f.newServer(name+"-server", spec)
	if err != nil {
		return nil, err
	}
	agentAddr, err := f.newAddr()
	if err != nil {
		return nil, err
	}
	path, err := f.writeAgentSettings(name, agentAddr, spec, server)
	if err != nil {
		return nil, err
	}
	routedAddr, err := f.routeAddr(Link{Kind: LinkAgent, To: name, Addr: agentAddr})
	if err != nil {
		return nil, err
	}
	agent := f.newProcess(name, agentAddr, f.options.Binaries.Agent, "serve", "--settings", path)
	agent.ready = checkReadyz(agentAddr)
	vm := storage.VM{Name: name, Addr: routedAddr, Zone: f.zone(number), Role: storage.RoleBackend, Serves: spec.Serves}
	return &Backend{VM: vm, Server: server, Agent: agent, fleet: f}, nil
}

func (f *Fleet) writeAgentSettings(name, addr string, spec BackendSpec, server *Server) (string, error) {
	platformAddr, err := f.routeAddr(Link{Kind: LinkPlatform, From: name, To: f.Platform.Name, Addr: f.Platform.Addr})
	if err != nil {
		return "", err
	}
	serverAddr, err := f.routeAddr(Link{Kind: LinkBackend, From: name, To: server.Name, Addr: server.Addr})
	if err != nil {
		return "", err
	}
	return f.writeSettings(name, settings.Agent{
		Process:  name,
		Zone:     f.zone(len(f.Backends)),
		Listen:   addr,
		Platform: settings.Platform{URL: "http://" + platformAddr},
		Seeds:    f.seeds(),
		Keys:     f.keys.settings(),
		Backend: settings.Backend{
			Kind:               spec.Kind,
			ServedName:         spec.Serves,
			URL:                "http://" + serverAddr,
			ChecksFencingToken: !spec.IgnoreFencingTokens,
		},
		Log: settings.Log{Level: f.options.LogLevel},
	})
}

// start registers the VM, then starts the server and its agent.
func (b *Backend) start(ctx context.Context) error {
	if err := b.fleet.register(ctx, b.VM); err != nil {
		return err
	}
	if err := b.Server.start(ctx); err != nil {
		return err
	}
	return b.Agent.start(ctx)
}

// zone returns the availability zone of the process with this number. Zones are assigned round-robin.
func (f *Fleet) zone(number int) string {
	if len(f.options.Zones) == 0 {
		return "zone-1"
	}
	return f.options.Zones[number%len(f.options.Zones)]
}

// seeds returns the addresses of the agents created so far.
func (f *Fleet) seeds() []string {
	seeds := make([]string, 0, len(f.Backends))
	for _, backend := range f.Backends {
		seeds = append(seeds, backend.VM.Addr)
	}
	return seeds
}
