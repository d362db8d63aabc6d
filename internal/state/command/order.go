package command

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/state"
)

func has(list []string, name string) bool { return slices.Contains(list, name) }

func fieldPath(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}

// applyOnce applies an operator's order at most once: the same id with the same content gets the first answer
// again, with other content a conflict. A refusal is not remembered: nothing was done.
func applyOnce(s *state.State, id string, c Command, do func() (any, error)) (any, error) {
	if id == "" {
		return nil, errs.Field(errs.Invalid, "order", "an order needs an id")
	}
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode order %s", id)
	}
	sum := sha256.Sum256(raw)
	digest := c.Op() + ":" + hex.EncodeToString(sum[:])
	if o := s.Orders[id]; o != nil {
		if o.Digest != digest {
			return nil, errs.Field(errs.Conflict, "order", "id %q is taken by another order", id)
		}
		return o.Answer, nil
	}
	answer, err := do()
	if err != nil {
		return nil, errs.Pass(err, "order %s", id)
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode answer to order %s", id)
	}
	s.Orders[id] = &state.AnsweredOrder{Digest: digest, Answer: raw, At: s.At}
	s.OrderKeys = append(s.OrderKeys, id)
	return json.RawMessage(raw), nil
}
