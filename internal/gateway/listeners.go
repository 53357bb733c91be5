package gateway

import (
	"net"

	"github.com/go-faster/errors"
)

// listeners are where a gateway takes connections.
type listeners struct {
	callers  net.Listener
	admin    net.Listener
	gateways net.Listener
}

// listen listens at all addresses, or closes what it has and returns ErrListen.
func (g *gateway) listen() (listeners, error) {
	var at listeners
	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{
		{g.settings.Listen, &at.callers},
		{g.settings.AdminListen, &at.admin},
		// Other gateways ask where they send their datagrams.
		{g.mesh.Addr(), &at.gateways},
	} {
		var err error
		if *l.to, err = net.Listen("tcp", l.addr); err != nil {
			at.close()
			g.mesh.Close()
			return listeners{}, errors.Wrap(ErrListen, err.Error())
		}
	}
	return at, nil
}

func (at listeners) close() {
	for _, l := range []net.Listener{at.callers, at.admin, at.gateways} {
		if l != nil {
			_ = l.Close()
		}
	}
}
