package command

import (
	"encoding/json"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
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
	answer, err := applyOnce(s, c.Order, c, func() (any, error) {
		if err := verifyIfOperatorsKnown(s, c.By, c.Sig, signature.AccountCreate(c.Order, c.Account, c.Credit)); err != nil {
			return nil, errs.Pass(err, "signature")
		}
		accounts := s.Accounts
		if accounts == nil {
			accounts = account.NewTable()
		}
		if err := accounts.Create(c.Account, c.Credit); err != nil {
			return nil, errs.Pass(err, "account %q", c.Account)
		}
		s.UseAccounts(accounts)
		s.NotifyWatcher(state.EventAccountChanged, c.Account)
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
	if err := verifyIfOperatorsKnown(s, c.By, c.Sig, signature.AccountTopUp(c.Key, c.Account, c.Amount)); err != nil {
		return nil, errs.Pass(err, "signature")
	}
	if s.Accounts == nil {
		return nil, errs.Field(errs.Unknown, "account", "no account %q", c.Account)
	}
	made, err := s.Accounts.TopUp(c.Account, c.Key, c.Amount, s.At)
	if err != nil {
		return nil, errs.Pass(err, "top-up")
	}
	s.NotifyWatcher(state.EventAccountChanged, c.Account)
	return made, nil
}

// verifyIfOperatorsKnown is verify once there are operators who could sign.
func verifyIfOperatorsKnown(s *state.State, by, sig, text string) error {
	if len(s.Operators) == 0 {
		return nil
	}
	return errs.Pass(verifySignature(s, by, sig, text), "operator")
}

// fees adds up what the starts of a group need. All are of one job, and so of one party.
type fees struct{ sum state.Fee }

// refusal adds the fee of a start; "balance" if the party's balance does not cover those added so far, else "".
func (f *fees) refusal(s *state.State, ref state.TaskRef) string {
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

// JobParties says who pays for which queues of the job table. Once the store knows operators, one of them signs
// signature.JobParties over the digest of the parties' JSON.
type JobParties struct {
	Order string `json:"order"`
	jobs.SetParties
	By  string `json:"by,omitempty"`
	Sig string `json:"sig,omitempty"`
}

// Op is "job-parties".
func (c *JobParties) Op() string { return "job-parties" }

func (c *JobParties) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c, func() (any, error) {
		digest, err := c.Digest()
		if err != nil {
			return nil, errs.Pass(err, "parties")
		}
		if err := verifyIfOperatorsKnown(s, c.By, c.Sig, signature.JobParties(c.Order, digest)); err != nil {
			return nil, errs.Pass(err, "signature")
		}
		return struct{}{}, errs.Pass(s.JobTable.SetParties(c.SetParties), "parties")
	})
	return answer, errs.Pass(err, "parties")
}

// Digest is the SHA-256 of the parties' JSON, in hex.
func (c *JobParties) Digest() (string, error) {
	data, err := json.Marshal(c.SetParties)
	return signature.Digest(data), errs.Wrap(err, errs.Internal, "encode parties")
}
