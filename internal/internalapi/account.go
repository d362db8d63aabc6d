package internalapi

import (
	"time"

	"crosstide/internal/account"
)

// AccountCreateCall is the body of POST /v1/accounts/{name}/create. Sig, in base64, is over signature.AccountCreate; it
// is needed once the store knows operators. The answer is a command.AccountCreated.
type AccountCreateCall struct {
	Order  string `json:"order"`
	Credit int64  `json:"credit,omitempty"` // units below zero that starts may reserve
	By     string `json:"by,omitempty"`
	Sig    string `json:"sig,omitempty"`
}

// TopUpCall is the body of POST /v1/accounts/{name}/top-up. Sent again with the same key it counts once. Sig, in
// base64, is over signature.AccountTopUp. The answer is an account.TopUp.
type TopUpCall struct {
	Key    string `json:"key"`
	Amount int64  `json:"amount"` // units
	By     string `json:"by,omitempty"`
	Sig    string `json:"sig,omitempty"`
}

// AccountView is the answer of GET /v1/accounts/{name}.
type AccountView struct {
	Name        string        `json:"name"`
	Balance     int64         `json:"balance"` // units; below zero only by what was running when it was exhausted
	Reserved    int64         `json:"reserved"`
	Spent       int64         `json:"spent"`
	ToppedUp    int64         `json:"topped_up"`
	Credit      int64         `json:"credit,omitempty"`
	Runs        int           `json:"runs"`             // that the account pays for now
	Rate        account.Rate  `json:"rate"`             // thousandths of a unit per second, of those runs
	ExhaustedIn time.Duration `json:"dry_in,omitempty"` // forecast at that rate; 0 with Draws: it is exhausted
	Draws       bool          `json:"draws"`            // whether ExhaustedIn means anything
	Warning     string        `json:"warning,omitempty"`
	Teams       []string      `json:"teams,omitempty"`  // that it pays for under the bundle in force
	Queues      []string      `json:"queues,omitempty"` // the same
	Waiting     int           `json:"waiting_jobs"`     // jobs that wait for a top-up
}

// AccountsAnswer is the answer of GET /v1/accounts, in order of names.
type AccountsAnswer struct {
	Accounts []AccountView `json:"accounts"`
}

// LedgerAnswer is the answer of GET /v1/accounts/{name}/ledger?after=N&limit=M: entries after number N, oldest first.
// Base stands for the entries that were compacted, Head for all.
type LedgerAnswer struct {
	Account string             `json:"account"`
	Base    account.Checkpoint `json:"base"`
	Head    account.Checkpoint `json:"head"`
	Entries []account.Entry    `json:"entries"`
}
