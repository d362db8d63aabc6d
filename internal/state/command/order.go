package command

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

// order is a command of an operator that is applied at most once per order ID.
type order interface {
	Command
	// check returns an error if the order must be rejected. It changes nothing.
	check(s *state.State) error
	// change applies an order that check has accepted and returns the answer. If it returns an error, s is unchanged.
	change(s *state.State) (any, error)
}

// applyOnce applies an order at most once. An order with an ID and content that were applied before gets the first
// answer; other content under the same ID is a conflict. A rejected order is not recorded, as it has changed nothing.
func applyOnce(s *state.State, id string, c order) (any, error) {
	if id == "" {
		return nil, errs.Field(errs.Invalid, "order", "the ID of an order must not be empty")
	}
	digest, err := orderDigest(c)
	if err != nil {
		return nil, errs.Pass(err, "order %s", id)
	}
	if first := s.Orders[id]; first != nil {
		if first.Digest != digest {
			return nil, errs.Field(errs.Conflict, "order", "ID %q belongs to another order", id)
		}
		return first.Answer, nil
	}
	if err := c.check(s); err != nil {
		return nil, errs.Pass(err, "order %s", id)
	}
	answer, err := c.change(s)
	if err != nil {
		return nil, errs.Pass(err, "order %s", id)
	}
	raw, err := json.Marshal(answer)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode answer to order %s", id)
	}
	s.RememberOrder(id, digest, raw)
	return json.RawMessage(raw), nil
}

// orderDigest returns the op and the hex SHA-256 of the order's JSON. It is stored with the answer.
func orderDigest(c order) (string, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return "", errs.Wrap(err, errs.Internal, "encode order")
	}
	sum := sha256.Sum256(raw)
	return c.Op() + ":" + hex.EncodeToString(sum[:]), nil
}
