package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/testbed/fleet"
	"crosstide/internal/testbed/netproxy"
)

func init() {
	commands = append(commands,
		&cli.Command{
			Name: "link", Usage: "run the faulty links of a fleet; `scripts/fleet up --links` starts it",
			Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "JSON `FILE` of crosstide-testbed plan", Required: true}},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				set, err := netproxy.Load(cmd.String("settings"))
				if err != nil {
					return errs.Pass(err, "link")
				}
				ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
				defer stop()
				logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
				return errs.Pass(netproxy.Run(ctx, set, clock.Real{}, logger), "link")
			},
		},
		&cli.Command{
			Name: "cut", Usage: "make the links to a node or a zone lose, slow down or hold back what they carry",
			Description: "crosstide-testbed cut --fleet DIR (--node NAME|--zone Z) --for 25s [--silent|--oneway|--slow 300ms|--late]\n\n" +
				"Only the links between the node (or zone) and all others are touched; clients and operators still reach\n" +
				"it. The cut heals by itself, this command does not wait for it. No connection is reset before it heals.\n" +
				"With --late, held back orders of one that has gone on since arrive at the end: a minion that obeys late\n" +
				"orders is promised that none is later than `lateness` of the dplanes' settings.",
			Flags: []cli.Flag{
				fleetFlag(),
				&cli.StringFlag{Name: "node"},
				&cli.StringFlag{Name: "zone"},
				&cli.DurationFlag{Name: "for", Required: true},
				&cli.BoolFlag{Name: "silent", Usage: "swallow all (the default)"},
				&cli.BoolFlag{Name: "oneway", Usage: "swallow what the node or zone sends"},
				&cli.DurationFlag{Name: "slow", Usage: "let all arrive `D` later"},
				&cli.BoolFlag{Name: "late", Usage: "hold all back until the end"},
			},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				c := netproxy.Fault{Node: cmd.String("node"), Zone: cmd.String("zone"), For: cmd.Duration("for"), Kind: netproxy.Blackhole}
				given := 0
				for _, kind := range []string{netproxy.Blackhole, netproxy.OneWayBlackhole, netproxy.AddLatency, netproxy.Stall} {
					if cmd.IsSet(kind) {
						c.Kind = kind
						given++
					}
				}
				if given > 1 {
					return exitCode{errs.Field(errs.Settings, "how", "only one of them may be given"), 2}
				}
				c.Delay = cmd.Duration("slow")
				links, err := cut(ctx, cmd.String("fleet"), c)
				if err != nil {
					return errs.Pass(err, "cut")
				}
				_, err = fmt.Fprintf(cmd.Root().Writer, "%s cut of %s%s for %s, %d links\n", c.Kind, c.Node, c.Zone, c.For, links)
				return errs.Wrap(err, errs.Disk, "print")
			},
		})
}

// cut sends the order to the fleet's links and returns how many it touched.
func cut(ctx context.Context, dir string, c netproxy.Fault) (int, error) {
	if err := c.Check(); err != nil {
		return 0, errs.Pass(err, "cut")
	}
	nodes, err := fleet.Read(dir)
	if err != nil {
		return 0, errs.Pass(err, "cut")
	}
	if nodes.ProxyAddr == "" {
		return 0, errs.New(errs.Settings, "the fleet has no links; it was brought up without --links")
	}
	reply, err := fleet.NewCaller(1).Call(ctx, http.MethodPost, nodes.ProxyAddr, netproxy.InjectFault.Path, c, 5*time.Second)
	if err != nil {
		return 0, errs.Pass(err, "links")
	}
	var answer netproxy.FaultAnswer
	if !reply.IsSuccess() || json.Unmarshal(reply.Body, &answer) != nil {
		return 0, errs.New(errs.Internal, "the links refuse: %s", reply.Body)
	}
	return answer.Links, nil
}
