package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"crosstide/internal/errs"
	"crosstide/internal/httpapi/operatorapi"
	"crosstide/internal/signature"
	"crosstide/internal/state/command"
)

// zoneCommand returns the command for the evacuation of zones.
func zoneCommand() *cli.Command {
	return &cli.Command{Name: "zone", Usage: "evacuate a zone, or lift an evacuation", Commands: []*cli.Command{
		{Name: "evacuate", Usage: "stop all runs in ZONE and start nothing new there", ArgsUsage: "ZONE",
			Flags: signedOrderFlags(), Action: evacuateZone},
		{Name: "lift", Usage: "allow starts in ZONE again; requires two operators", ArgsUsage: "ZONE",
			Flags: signedOrderFlags(), Action: liftEvacuation},
		{Name: "list", Usage: "print the evacuated zones", Flags: queryFlags(),
			Action: queryAction("/v1/zones", renderZones)},
	}}
}

func evacuateZone(ctx context.Context, cmd *cli.Command) error {
	err := orderZone(ctx, cmd, "evacuate", func(zone, order string) (string, error) {
		return signature.Evacuate(order, zone), nil
	})
	return errs.Pass(err, "evacuate")
}

// liftEvacuation signs the start time of the zone's evacuation, so that the signature cannot lift a later evacuation.
func liftEvacuation(ctx context.Context, cmd *cli.Command) error {
	err := orderZone(ctx, cmd, "lift", func(zone, _ string) (string, error) {
		since, err := evacuatedSince(ctx, cmd, zone)
		return signature.Lift(zone, since), errs.Pass(err, "zone")
	})
	return errs.Pass(err, "lift")
}

// orderZone posts the order verb (evacuate or lift) for the zone named by the argument, signed if --key is given.
// signedText returns the text to sign.
func orderZone(ctx context.Context, cmd *cli.Command, verb string,
	signedText func(zone, order string) (string, error)) error {
	args, err := exactArgs(cmd, "ZONE")
	if err != nil {
		return errs.Pass(err, "zone")
	}
	signer, err := loadOperator(cmd)
	if err != nil {
		return errs.Pass(err, "zone")
	}
	order := operatorapi.Order{Order: orderID(cmd)}
	text, err := signedText(args[0], order.Order)
	if err != nil {
		return errs.Pass(err, "zone")
	}
	order.By, order.Sig = signer.sign(text)
	path := "/v1/zones/" + url.PathEscape(args[0]) + "/" + verb
	err = printJSONOrder(ctx, cmd, order.Order, path, order, func(t table, done command.ZoneEvacuation) {
		t.row("zone", done.Zone)
		t.row("evacuated", done.Evacuated)
		t.row("signed", orDash(joined(done.Signed)))
	})
	return errs.Pass(err, "zone")
}

// evacuatedSince returns the start time of a zone's evacuation, or the zero time if the zone is not evacuated.
func evacuatedSince(ctx context.Context, cmd *cli.Command, name string) (since time.Time, err error) {
	raw, err := doRequest(ctx, cmd, http.MethodGet, "/v1/zones", nil)
	if err != nil {
		return since, errs.Pass(err, "zones")
	}
	var list operatorapi.Zones
	if err := json.Unmarshal(raw, &list); err != nil {
		return since, errs.Wrap(err, errs.Malformed, "invalid list of zones")
	}
	for _, zone := range list.Zones {
		if zone.Zone == name {
			since = zone.Since
		}
	}
	return since, nil
}

func renderZones(t table, list operatorapi.Zones) {
	t.row("ZONE", "EVACUATED", "LIFTING SIGNED")
	for _, zone := range list.Zones {
		t.row(zone.Zone, formatTime(zone.Since), orDash(joined(zone.Signed)))
	}
}
