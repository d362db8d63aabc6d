package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"crosstide/internal/conf"
	"crosstide/internal/fault"
	"crosstide/internal/wire"
	"crosstide/platform"
)

// exitMargin is left of the grace for the process's own end.
const exitMargin = 500 * time.Millisecond

// storeSettings maps the users' platform's settings of a core node to the store's. The founders are the seeds; their
// zones are not told, except this node's own.
func storeSettings(core platform.CoreSettings) conf.Cplane {
	set := conf.DefaultCplane()
	set.Name, set.Zone, set.Region = core.Name, core.Zone, core.Region
	set.Addr, set.Seeds, set.Data = core.InternalAddress, core.Seeds, core.DataFolder
	if core.Grace > 0 {
		set.Grace = max(core.Grace-exitMargin, core.Grace/2)
	}
	for _, seed := range core.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue // the settings were checked when they were read
		}
		founder := conf.Member{ID: host, Addr: seed}
		if host == core.Name {
			founder.Zone = core.Zone
		}
		set.Members = append(set.Members, founder)
	}
	return set
}

// exchanger carries the platform's requests to workers over a Caller.
type exchanger struct{ caller *wire.Caller }

var _ platform.Exchanger = exchanger{}

// Exchange sends one request to addr and gives the answer.
func (e exchanger) Exchange(ctx context.Context, addr string, request platform.Request, within time.Duration) (platform.Response, error) {
	r, err := e.caller.Exchange(ctx, addr, wire.Request{Method: request.Method, Path: request.Path, Header: request.Header, Body: request.Body}, within)
	if err != nil {
		return platform.Response{}, fault.Pass(err, "exchange")
	}
	return platform.Response{Status: r.Status, Header: firstValues(r.Header), Body: r.Body}, nil
}

func firstValues(header http.Header) map[string]string {
	first := make(map[string]string, len(header))
	for name, values := range header {
		if len(values) > 0 {
			first[name] = values[0]
		}
	}
	return first
}
