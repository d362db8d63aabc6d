package internalapi

import (
	"time"

	"crosstide/internal/account"
)

// AccountCreateCall is the body of POST /v1/accounts/{name}/create. Sig is the base64-encoded signature over
// signature.AccountCreate; it is required once the store has operators. The answer is a command.AccountCreated.
type AccountCreateCall struct {
	Order  string `json:"order"`
	Credit int64  `json:"credit,omitempty"` // units by which reservations for starts may overdraw the account
	By     string `json:"by,omitempty"`
	Sig    string `json:"sig,omitempty"`
}

// TopUpCall is the body of POST /v1/accounts/{name}/top-up. Calls with the same key count once. Sig is the
// base64-encoded signature over signature.AccountTopUp. The answer is an account.TopUp.
type TopUpCall struct {
	Key    string `json:"key"`
	Amount int64  `json:"amount"` // units
	By     string `json:"by,omitempty"`
	Sig    string `json:"sig,omitempty"`
}

// AccountView is the answer of GET /v1/accounts/{name}.
type AccountView struct {
	Name        string        `json:"name"`
	Balance     int64         `json:"balance"` // units; below zero only by runs that were active when it was exhausted
	Reserved    int64         `json:"reserved"`
	Spent       int64         `json:"spent"`
	ToppedUp    int64         `json:"topped_up"`
	Credit      int64         `json:"credit,omitempty"`
	Runs        int           `json:"runs"`             // runs that the account pays for now
	Rate        account.Rate  `json:"rate"`             // spending on those runs, in thousandths of a unit per second
	ExhaustedIn time.Duration `json:"dry_in,omitempty"` // forecast at Rate; 0 with IsDrawing set: it is exhausted
	IsDrawing   bool          `json:"draws"`            // whether ExhaustedIn is meaningful
	Warning     string        `json:"warning,omitempty"`
	Teams       []string      `json:"teams,omitempty"`  // teams that it pays for under the bundle in force
	Queues      []string      `json:"queues,omitempty"` // queues that it pays for under that bundle
	Waiting     int           `json:"waiting_jobs"`     // jobs waiting for a top-up
}

// AccountsAnswer is the answer of GET /v1/accounts, sorted by name.
type AccountsAnswer struct {
	Accounts []AccountView `json:"accounts"`
}

// LedgerAnswer is the answer of GET /v1/accounts/{name}/ledger?after=N&limit=M: entries after number N, oldest first.
// Base summarizes the compacted entries, Head all of them.
type LedgerAnswer struct {
	Account string             `json:"account"`
	Base    account.Checkpoint `json:"base"`
	Head    account.Checkpoint `json:"head"`
	Entries []account.Entry    `json:"entries"`
}
