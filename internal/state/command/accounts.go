package command

import (
	"time"

	"crosstide/internal/account"
	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// AccountCreate opens the account of a party. Once operators are set, one of them must sign the text
// signature.AccountCreate.
type AccountCreate struct {
	Order   string `json:"order"`
	Account string `json:"account"`
	Credit  int64  `json:"credit,omitempty"` // how far below zero a start may take the balance
	By      string `json:"by,omitempty"`
	Sig     string `json:"sig,omitempty"`
}

// AccountCreated answers AccountCreate.
type AccountCreated struct {
	Account string    `json:"account"`
	Credit  int64     `json:"credit,omitempty"`
	At      time.Time `json:"at"`
}

// Op returns "account-create".
func (*AccountCreate) Op() string { return "account-create" }

func (c *AccountCreate) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c)
	return answer, errs.Pass(err, "create")
}

func (c *AccountCreate) check(s *state.State) error {
	text := signature.AccountCreate(c.Order, c.Account, c.Credit)
	return errs.Pass(verifyIfOperatorsKnown(s, c.By, c.Sig, text), "signature")
}

func (c *AccountCreate) change(s *state.State) (any, error) {
	accounts := s.Accounts
	if accounts == nil {
		accounts = account.NewTable()
	}
	if err := accounts.Create(c.Account, c.Credit); err != nil {
		return nil, errs.Pass(err, "account %q", c.Account)
	}
	s.SetAccounts(accounts)
	s.NotifyChange(state.EventAccountChanged, c.Account)
	return AccountCreated{Account: c.Account, Credit: c.Credit, At: s.At}, nil
}

// AccountTopUp adds to the balance of an account, once for each idempotency key: a repeated top-up gets the first
// answer again. Once operators are set, one of them must sign the text signature.AccountTopUp. The answer is an
// account.TopUp.
type AccountTopUp struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	Amount  int64  `json:"amount"`
	By      string `json:"by,omitempty"`
	Sig     string `json:"sig,omitempty"`
}

// Op returns "account-top-up".
func (*AccountTopUp) Op() string { return "account-top-up" }

func (c *AccountTopUp) apply(s *state.State, _ uint64) (any, error) {
	if err := c.check(s); err != nil {
		return nil, errs.Pass(err, "top-up")
	}
	made, err := s.Accounts.TopUp(c.Account, c.Key, c.Amount, s.At)
	if err != nil {
		return nil, errs.Pass(err, "top-up")
	}
	s.NotifyChange(state.EventAccountChanged, c.Account)
	return made, nil
}

func (c *AccountTopUp) check(s *state.State) error {
	text := signature.AccountTopUp(c.Key, c.Account, c.Amount)
	if err := verifyIfOperatorsKnown(s, c.By, c.Sig, text); err != nil {
		return errs.Pass(err, "signature")
	}
	if s.Accounts == nil {
		return errs.Field(errs.Unknown, "account", "no account %q", c.Account)
	}
	return nil
}
