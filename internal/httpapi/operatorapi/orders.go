package operatorapi

import (
	"encoding/json"
	"net/http"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
	"crosstide/internal/state/command"
)

const (
	maxBody = 64 << 10 // bytes of an order's body, except of a bundle
	maxID   = 200      // bytes of an order's ID or a top-up's key
)

// Order is the body of an order. An order that is sent again with the same ID and content is executed once, and gets
// the same response.
type Order struct {
	Order string `json:"order"`
	By    string `json:"by,omitempty"`  // for evacuate and lift: the operator who signs
	Sig   string `json:"sig,omitempty"` // over signature.Evacuate or signature.Lift, in base64
}

// serveOrders registers the routes of the orders whose target is in the path.
func serveOrders(srv *rpc.Server, s Store) {
	order := func(pattern string, toCommand func(r *http.Request, in Order) command.Command) {
		route(srv, "POST "+pattern, func(r *http.Request) (any, error) {
			var in Order
			if err := decode(r, &in, "the body must be {\"order\":\"id\"}"); err != nil {
				return nil, errs.Pass(err, "order")
			}
			if err := checkID("order", in.Order); err != nil {
				return nil, errs.Pass(err, "order")
			}
			answer, err := s.ProposeOrForward(r.Context(), toCommand(r, in))
			return answer, errs.Pass(err, "order %s", in.Order)
		})
	}
	order("/v1/zones/{zone}/evacuate", func(r *http.Request, in Order) command.Command {
		return &command.EvacuateZone{Order: in.Order, Zone: r.PathValue("zone"), Start: true, By: in.By, Sig: in.Sig}
	})
	order("/v1/zones/{zone}/lift", func(r *http.Request, in Order) command.Command {
		return &command.EvacuateZone{Order: in.Order, Zone: r.PathValue("zone"), By: in.By, Sig: in.Sig}
	})
	order("/v1/minions/{name}/drain", func(r *http.Request, in Order) command.Command {
		return &command.CloseWorker{Order: in.Order, Worker: r.PathValue("name"), Closed: true}
	})
	order("/v1/minions/{name}/open", func(r *http.Request, in Order) command.Command {
		return &command.CloseWorker{Order: in.Order, Worker: r.PathValue("name")}
	})
	order("/v1/minions/{name}/retire", func(r *http.Request, in Order) command.Command {
		return &command.CloseWorker{Order: in.Order, Worker: r.PathValue("name"), Retire: true}
	})
	order("/v1/members/{old}/replace/{new}", func(r *http.Request, in Order) command.Command {
		return &command.ReplaceMember{Order: in.Order, Old: r.PathValue("old"), New: r.PathValue("new")}
	})
}

// decode decodes the JSON body of r into target. It fails with errs.TooLarge if the body exceeds maxBody, and with
// errs.Malformed and message if the body does not fit target.
func decode(r *http.Request, target any, message string) error {
	raw, err := rpc.ReadBody(r, maxBody)
	if err != nil {
		return errs.Pass(err, "order")
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return errs.Wrap(err, errs.Malformed, "%s", message)
	}
	return nil
}

// checkID rejects an order's ID or a top-up's key that is empty or too long to be stored.
func checkID(field, id string) error {
	if id == "" || len(id) > maxID {
		return errs.Field(errs.Invalid, field, "must be 1 to %d bytes, is %d", maxID, len(id))
	}
	return nil
}
