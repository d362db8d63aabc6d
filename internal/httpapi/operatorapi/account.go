package operatorapi

import (
	"net/http"
	"strconv"

	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/rpc"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
	"crosstide/internal/state/query"
)

// maxEntries is the maximum number of ledger entries in one response.
const maxEntries = 1000

// serveAccounts registers the routes of the parties' accounts:
//
//	POST /v1/accounts/{name}/create   {"order","credit","by","sig"}
//	POST /v1/accounts/{name}/top-up   {"key","amount","by","sig"}   applied once per key
//	GET  /v1/accounts
//	GET  /v1/accounts/{name}
//	GET  /v1/accounts/{name}/ledger?after=N&limit=M
//	GET  /v1/accounts/{name}/export   CSV
//
// Errors: Malformed, TooLarge, Forbidden, Invalid, Unknown, Conflict, Unavailable, Timeout (send the same request
// again).
func serveAccounts(srv *rpc.Server, s Store) {
	a := accounts{s}
	route(srv, "POST /v1/accounts/{name}/create", a.create)
	route(srv, "POST /v1/accounts/{name}/top-up", a.topUp)
	route(srv, "GET /v1/accounts", a.list)
	route(srv, "GET /v1/accounts/{name}", a.show)
	route(srv, "GET /v1/accounts/{name}/ledger", a.ledger)
	srv.Route("GET /v1/accounts/{name}/export", a.export)
}

// accounts has the handlers of the accounts' routes.
type accounts struct{ store Store }

func decodeAccountOrder(r *http.Request, target any) error {
	return errs.Pass(decode(r, target, "the body must be a JSON object with the fields of the order"), "account")
}

func (a accounts) create(r *http.Request) (any, error) {
	var call internalapi.AccountCreateCall
	if err := decodeAccountOrder(r, &call); err != nil {
		return nil, errs.Pass(err, "create")
	}
	if err := checkID("order", call.Order); err != nil {
		return nil, errs.Pass(err, "create")
	}
	answer, err := a.store.ProposeOrForward(r.Context(), &command.AccountCreate{Order: call.Order,
		Account: r.PathValue("name"), Credit: call.Credit, By: call.By, Sig: call.Sig})
	return answer, errs.Pass(err, "create")
}

func (a accounts) topUp(r *http.Request) (any, error) {
	var call internalapi.TopUpCall
	if err := decodeAccountOrder(r, &call); err != nil {
		return nil, errs.Pass(err, "top-up")
	}
	if err := checkID("key", call.Key); err != nil {
		return nil, errs.Pass(err, "top-up")
	}
	answer, err := a.store.ProposeOrForward(r.Context(), &command.AccountTopUp{Account: r.PathValue("name"),
		Key: call.Key, Amount: call.Amount, By: call.By, Sig: call.Sig})
	return answer, errs.Pass(err, "top-up")
}

func (a accounts) list(r *http.Request) (any, error) {
	var answer internalapi.AccountsAnswer
	err := a.store.Read(r.Context(), func(s *state.State) { answer.Accounts = query.Accounts(s) })
	return answer, errs.Pass(err, "accounts")
}

// read runs do on a confirmed state, with the account name in the path. It returns the error of the store if the state
// could not be confirmed, else the error of do.
func (a accounts) read(r *http.Request, do func(s *state.State, name string) error) error {
	var failure error // separate from err: only a confirmed state may report that an account does not exist
	err := a.store.Read(r.Context(), func(s *state.State) { failure = do(s, r.PathValue("name")) })
	if err != nil {
		return errs.Pass(err, "account")
	}
	return errs.Pass(failure, "account")
}

func (a accounts) show(r *http.Request) (any, error) {
	var view internalapi.AccountView
	err := a.read(r, func(s *state.State, name string) (err error) {
		view, err = query.Account(s, name)
		return errs.Pass(err, "show")
	})
	return view, errs.Pass(err, "show")
}

func (a accounts) ledger(r *http.Request) (any, error) {
	after, limit, err := page(r)
	if err != nil {
		return nil, errs.Pass(err, "ledger")
	}
	var answer internalapi.LedgerAnswer
	err = a.read(r, func(s *state.State, name string) (err error) {
		answer, err = query.Ledger(s, name, after, limit)
		return errs.Pass(err, "ledger")
	})
	return answer, errs.Pass(err, "ledger")
}

// page returns the parameters after and limit of the query, by default 0 and maxEntries. Errors: errs.Invalid.
func page(r *http.Request) (after uint64, limit int, err error) {
	limit = maxEntries
	if text := r.URL.Query().Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, errs.Field(errs.Invalid, "after", "must be a number, is %q", text)
		}
	}
	if text := r.URL.Query().Get("limit"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxEntries {
			return 0, 0, errs.Field(errs.Invalid, "limit", "must be 1 to %d, is %q", maxEntries, text)
		}
	}
	return after, limit, nil
}

func (a accounts) export(w http.ResponseWriter, r *http.Request) {
	var csv []byte
	err := a.read(r, func(s *state.State, name string) (err error) {
		csv, err = query.ExportLedger(s, name)
		return errs.Pass(err, "export")
	})
	if err != nil {
		rpc.WriteError(w, err)
		return
	}
	writeBytes(w, "text/csv", csv)
}
