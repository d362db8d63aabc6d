package command

import (
	"time"

	"crosstide/internal/account"
	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// AccountCreate opens the account of a party. Once the store knows operators, one of them signs
// signature.AccountCreate.
type AccountCreate struct {
	Order   string `json:"order"`
	Account string `json:"account"`
	Credit  int64  `json:"credit,omitempty"` // how far below zero starts may reserve
	By      string `json:"by,omitempty"`
	Sig     string `json:"sig,omitempty"`
}

// AccountCreated answers AccountCreate.
type AccountCreated struct {
	Account string    `json:"account"`
	Credit  int64     `json:"credit,omitempty"`
	At      time.Time `json:"at"`
}

// Op is "account-create".
func (c *AccountCreate) Op() string { return "account-create" }

func (c *AccountCreate) apply(s *state.State, _ uint64) (any, error) {
	answer, err := once(s, c.Order, c, func() (any, error) {
		if err := verifyIfKnown(s, c.By, c.Sig, signature.AccountCreate(c.Order, c.Account, c.Credit)); err != nil {
			return nil, errs.Pass(err, "signature")
		}
		book := s.Accounts
		if book == nil {
			book = account.NewBook()
		}
		if err := book.Create(c.Account, c.Credit); err != nil {
			return nil, errs.Pass(err, "account %q", c.Account)
		}
		s.Accounts = book
		s.Changed(state.NoteAccount, c.Account)
		return AccountCreated{Account: c.Account, Credit: c.Credit, At: s.At}, nil
	})
	return answer, errs.Pass(err, "create")
}

// AccountTopUp adds to the balance of an account, once for each key of it: sent again it is answered alike. Once the
// store knows operators, one of them signs signature.AccountTopUp. The answer is an account.TopUp.
type AccountTopUp struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	Amount  int64  `json:"amount"`
	By      string `json:"by,omitempty"`
	Sig     string `json:"sig,omitempty"`
}

// Op is "account-top-up".
func (c *AccountTopUp) Op() string { return "account-top-up" }

func (c *AccountTopUp) apply(s *state.State, _ uint64) (any, error) {
	if err := verifyIfKnown(s, c.By, c.Sig, signature.AccountTopUp(c.Key, c.Account, c.Amount)); err != nil {
		return nil, errs.Pass(err, "signature")
	}
	if s.Accounts == nil {
		return nil, errs.Field(errs.Unknown, "account", "no account %q", c.Account)
	}
	made, err := s.Accounts.TopUp(c.Account, c.Key, c.Amount, s.At)
	if err != nil {
		return nil, errs.Pass(err, "top-up")
	}
	s.Changed(state.NoteAccount, c.Account)
	return made, nil
}

// verifyIfKnown is verify once there are operators who could sign.
func verifyIfKnown(s *state.State, by, sig, text string) error {
	if len(s.Operators) == 0 {
		return nil
	}
	return errs.Pass(verify(s, by, sig, text), "operator")
}

// fees adds up what the starts of a group need. All are of one job, and so of one party.
type fees struct{ sum state.Fee }

// refuse adds the fee of a start; "balance" if the party's balance does not cover those added so far, else "".
func (f *fees) refuse(s *state.State, ref state.TaskRef) string {
	j, _ := s.TaskOf(ref)
	fee := s.Fee(j, ref)
	if fee.Party == "" {
		return ""
	}
	f.sum.Party = fee.Party
	if f.sum.Cost += fee.Cost; !s.Covers(f.sum) {
		return RefusedBalance
	}
	return ""
}

// RefusedBalance is the word on a start that the balance of its party does not cover.
const RefusedBalance = "balance"
