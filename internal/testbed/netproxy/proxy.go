// Package netproxy is the network proxy of the testbed: a TCP proxy on the link between any two nodes. While a fault is
// active, it drops bytes without a reset, or delays them.
//
// Entry point: Run, which listens on every link and on a control port. Each connection (connection.go) asks the
// faultSet (fault.go) for the effect of the active faults on each read. A call to the control port adds a Fault, which
// ends after its duration. The proxy parses no protocol: it neither drops single calls nor changes bytes.
package netproxy

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/journal"
)

// serverGrace is how long a call to the control port that is in flight may take when the proxy stops.
const serverGrace = time.Second

// Link is the connection from one node to another: From dials Listen to reach To, which listens at Dial.
type Link struct {
	From     string `json:"from"`
	FromZone string `json:"from_zone"`
	To       string `json:"to"`
	ToZone   string `json:"to_zone"`
	Listen   string `json:"listen"`
	Dial     string `json:"dial"`
}

// Settings is the settings file of `crosstide-testbed link`.
type Settings struct {
	Control string `json:"control"` // address of the control port
	Journal string `json:"journal"`
	Links   []Link `json:"ways"`
}

// Load reads a settings file. Failure: Settings.
func Load(path string) (Settings, error) {
	var s Settings
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, errs.Wrap(err, errs.Settings, "read %s", path)
	}
	return s, errs.Wrap(json.Unmarshal(raw, &s), errs.Settings, "%s", path)
}

// proxy holds the links of a process and the faults on them.
type proxy struct {
	settings Settings
	clock    clock.Clock
	logger   log.Logger
	writer   *journal.Writer
	group    *routine.Group // of all connections
	faults   faultSet
}

// Run opens the links and serves the control port until ctx ends. Failures: Settings, Disk. Example:
//
//	err := netproxy.Run(ctx, settings, clock.Real{}, logger)
func Run(ctx context.Context, settings Settings, clock clock.Clock, logger log.Logger) error {
	writer, err := journal.Open(settings.Journal)
	if err != nil {
		return errs.Pass(err, "links")
	}
	defer writer.Close()
	p := &proxy{settings: settings, clock: clock, logger: logger, writer: writer, group: routine.New(ctx)}
	defer p.group.Stop()
	for _, link := range settings.Links {
		if err := p.listen(link); err != nil {
			return errs.Pass(err, "links")
		}
	}
	server := rpc.NewServer(rpc.ServerOptions{Addr: settings.Control, Logger: logger})
	rpc.Handle(server, InjectFault, func(_ context.Context, f Fault) (FaultAnswer, error) {
		answer, err := p.inject(f)
		return answer, errs.Pass(err, "order")
	})
	if err := server.Start(); err != nil {
		return errs.Pass(err, "control port of the network proxy")
	}
	_ = level.Info(logger).Log("msg", "links opened", "links", len(settings.Links), "control", server.Addr())
	<-ctx.Done()
	return errs.Pass(server.Stop(serverGrace), "links")
}

// listen starts to accept connections of a link, until the group stops.
func (p *proxy) listen(link Link) error {
	listener, err := net.Listen("tcp", link.Listen)
	if err != nil {
		return errs.Wrap(err, errs.Settings, "link from %s to %s", link.From, link.To)
	}
	context.AfterFunc(p.group.Context(), func() { _ = listener.Close() })
	p.group.Go(func(ctx context.Context) { p.accept(ctx, listener, link) })
	return nil
}

func (p *proxy) accept(ctx context.Context, listener net.Listener, link Link) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				_ = level.Error(p.logger).Log("msg", "link closed", "from", link.From, "to", link.To, "err", err)
			}
			return
		}
		p.group.Go(func(ctx context.Context) { p.serve(ctx, link, conn.(*net.TCPConn)) })
	}
}

// inject journals a fault, makes it active, and has its end journaled after f.For.
func (p *proxy) inject(f Fault) (FaultAnswer, error) {
	var answer FaultAnswer
	if err := f.Check(); err != nil {
		return answer, errs.Pass(err, "cut")
	}
	for _, link := range p.settings.Links {
		if isAffected, _ := f.affects(link); isAffected {
			answer.Links++
		}
	}
	if answer.Links == 0 {
		return answer, errs.New(errs.Unknown, "no link leads into or out of %s%s", f.Node, f.Zone)
	}
	if err := p.record("cut", f); err != nil {
		return answer, errs.Pass(err, "cut")
	}
	p.faults.add(p.clock.Now(), f)
	p.clock.Set(f.For, func() {
		if err := p.record("heal", f); err != nil {
			_ = level.Warn(p.logger).Log("msg", "journal not written", "err", err)
		}
	})
	_ = level.Info(p.logger).Log("msg", "fault injected", "node", f.Node, "zone", f.Zone, "how", f.Kind, "for", f.For,
		"links", answer.Links)
	return answer, nil
}

// record journals the start ("cut") or the end ("heal") of a fault.
func (p *proxy) record(event string, f Fault) error {
	err := p.writer.Append(map[string]any{"at": p.clock.Wall().UnixNano(), "ev": event, "node": f.Node, "zone": f.Zone,
		"how": f.Kind, "for": f.For.String(), "delay": f.Delay.String()})
	return errs.Pass(err, "network proxy's journal")
}
