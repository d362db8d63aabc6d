package netproxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/routine"
	"crosstide/internal/rpc"
	"crosstide/internal/testbed/journal"
)

const (
	bufferBytes       = 32 << 10
	maxQueuedSegments = 4096 // chunks that a direction of a connection holds back at most; then it stops reading
	dialTimeout       = 2 * time.Second
)

// Settings are those of `drill link`.
type Settings struct {
	Control string `json:"control"` // host:port that takes orders
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

// Proxy is a process's links.
type Proxy struct {
	settings Settings
	clock    clock.Clock
	logger   log.Logger
	writer   *journal.Writer
	group    *routine.Group
	faults   faultSet
}

// Run opens the links and takes orders until ctx ends. Faults: Settings, Disk. Example:
//
//	err := netproxy.Run(ctx, set, clock.Real{}, logger)
func Run(ctx context.Context, settings Settings, clock clock.Clock, logger log.Logger) error {
	writer, err := journal.Open(settings.Journal)
	if err != nil {
		return errs.Pass(err, "links")
	}
	defer writer.Close()
	l := &Proxy{settings: settings, clock: clock, logger: logger, writer: writer, group: routine.New(ctx)}
	defer l.group.Stop()
	for _, w := range settings.Links {
		ln, err := net.Listen("tcp", w.Listen)
		if err != nil {
			return errs.Wrap(err, errs.Settings, "link from %s to %s", w.From, w.To)
		}
		context.AfterFunc(l.group.Context(), func() { _ = ln.Close() })
		l.group.Go(func(ctx context.Context) { l.accept(ctx, ln, w) })
	}
	srv := rpc.NewServer(rpc.ServerOptions{Addr: settings.Control, Logger: logger})
	rpc.Handle(srv, InjectFault, func(_ context.Context, c Fault) (FaultAnswer, error) {
		a, err := l.inject(c)
		return a, errs.Pass(err, "order")
	})
	if err := srv.Start(); err != nil {
		return errs.Pass(err, "control port of the links")
	}
	_ = level.Info(logger).Log("msg", "links are up", "links", len(settings.Links), "control", srv.Addr())
	<-ctx.Done()
	return errs.Pass(srv.Stop(time.Second), "links")
}

// inject carries out an order, after it is in the journal, and journals when it is over.
func (l *Proxy) inject(c Fault) (FaultAnswer, error) {
	var answer FaultAnswer
	if err := c.Check(); err != nil {
		return answer, errs.Pass(err, "cut")
	}
	for _, w := range l.settings.Links {
		if yes, _ := c.crosses(w); yes {
			answer.Links++
		}
	}
	if answer.Links == 0 {
		return answer, errs.New(errs.Unknown, "no link leads to %s%s", c.Node, c.Zone)
	}
	record := func(ev string) error {
		err := l.writer.Append(map[string]any{"at": l.clock.Wall().UnixNano(), "ev": ev, "node": c.Node, "zone": c.Zone,
			"how": c.Kind, "for": c.For.String(), "delay": c.Delay.String()})
		return errs.Pass(err, "links' journal")
	}
	if err := record("cut"); err != nil {
		return answer, errs.Pass(err, "cut")
	}
	l.faults.add(l.clock.Now(), c)
	l.clock.Set(c.For, func() {
		if err := record("heal"); err != nil {
			_ = level.Warn(l.logger).Log("msg", "journal", "err", err)
		}
	})
	_ = level.Info(l.logger).Log("msg", "cut", "node", c.Node, "zone", c.Zone, "how", c.Kind, "for", c.For, "links", answer.Links)
	return answer, nil
}

func (l *Proxy) accept(ctx context.Context, ln net.Listener, w Link) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() == nil {
				_ = level.Error(l.logger).Log("msg", "a link has ended", "from", w.From, "to", w.To, "err", err)
			}
			return
		}
		l.group.Go(func(ctx context.Context) { l.serve(ctx, w, c.(*net.TCPConn)) })
	}
}

// connection is one connection through a link: its two ends, reset together.
type connection struct {
	*Proxy
	Link
	group *routine.Group
}

// serve leads one connection. The opening of it is judged as its bytes are: held back, or never answered.
func (l *Proxy) serve(ctx context.Context, w Link, in *net.TCPConn) {
	t := &connection{l, w, routine.New(ctx)}
	defer t.group.Stop()
	resetOnStop(t.group, in)
	to := make(chan segment, maxQueuedSegments)
	ended := make(chan struct{}, 2)
	open := t.judge(true)
	t.group.Go(func(context.Context) { t.read(in, true, to) }) // at once: bytes may come that are to be held back
	if open.lost || !t.wait(open.due) {
		<-t.group.Context().Done()
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(t.group.Context(), "tcp", w.Dial)
	if err != nil {
		return // as the node's own kernel would: reset
	}
	out := c.(*net.TCPConn)
	resetOnStop(t.group, out)
	from := make(chan segment, maxQueuedSegments)
	t.group.Go(func(context.Context) { t.read(out, false, from) })
	t.group.Go(func(context.Context) { t.write(out, to); ended <- struct{}{} })
	t.group.Go(func(context.Context) { t.write(in, from); ended <- struct{}{} })
	for range 2 {
		select {
		case <-ended:
		case <-t.group.Context().Done():
		}
	}
}

// resetOnStop resets c when the group ends.
func resetOnStop(g *routine.Group, c *net.TCPConn) {
	context.AfterFunc(g.Context(), func() {
		_ = c.SetLinger(0)
		_ = c.Close()
	})
}

// judge returns the fate of what comes now; what is lost dooms the connection: a stream with a gap cannot go on.
func (t *connection) judge(forward bool) verdict {
	now := t.clock.Now()
	f := t.faults.verdictFor(now, t.Link, forward)
	if f.lost {
		t.clock.Set(f.end-now, t.group.Cancel)
	}
	return f
}

// wait waits until due, false if the connection ends before.
func (t *connection) wait(due time.Duration) bool {
	d := due - t.clock.Now()
	if d <= 0 {
		return true
	}
	elapsed := make(chan struct{})
	timer := t.clock.Set(d, func() { close(elapsed) })
	select {
	case <-elapsed:
		return true
	case <-t.group.Context().Done():
		timer.Stop()
		return false
	}
}

// segment is what came at one moment: bytes, or the stream's end.
type segment struct {
	data []byte
	due  time.Duration
	err  error // the end: io.EOF or a reset
}

// read takes in a direction's bytes until its end, or until something of it is lost; then all the rest is.
func (t *connection) read(from *net.TCPConn, forward bool, to chan<- segment) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		f := t.judge(forward)
		if f.lost {
			_, _ = io.Copy(io.Discard, from) // nothing of it matters any more
			return
		}
		if n > 0 && !t.enqueue(to, segment{data: slices.Clone(buf[:n]), due: f.due}) {
			return
		}
		if err != nil {
			t.enqueue(to, segment{due: f.due, err: err})
			return
		}
	}
}

func (t *connection) enqueue(to chan<- segment, p segment) bool {
	select {
	case to <- p:
		return true
	case <-t.group.Context().Done():
		return false
	}
}

// write lets pieces go on when they are due. An end goes on as what it was, a reset takes both sides.
func (t *connection) write(to *net.TCPConn, from <-chan segment) {
	for {
		var p segment
		select {
		case p = <-from:
		case <-t.group.Context().Done():
			return
		}
		if !t.wait(p.due) {
			return
		}
		if len(p.data) > 0 {
			if _, err := to.Write(p.data); err != nil {
				t.group.Cancel()
				return
			}
		}
		if p.err != nil {
			if !errors.Is(p.err, io.EOF) || to.CloseWrite() != nil {
				t.group.Cancel()
			}
			return
		}
	}
}
