package state

import (
	"encoding/json"
	"time"
)

// AnsweredOrder is the stored answer to an operator's order. A repeated order gets the same answer.
type AnsweredOrder struct {
	Digest string          `json:"d"` // of the order's op and content
	Answer json.RawMessage `json:"a"`
	At     time.Time       `json:"at"`
}

// RememberOrder records the answer to an order at the store time.
func (s *State) RememberOrder(id, digest string, answer json.RawMessage) {
	s.Orders[id] = &AnsweredOrder{Digest: digest, Answer: answer, At: s.At}
	s.OrderKeys = append(s.OrderKeys, id)
}

// DropOldestOrder removes the oldest answered order. If that order is repeated, it is applied again.
func (s *State) DropOldestOrder() {
	delete(s.Orders, s.OrderKeys[0])
	s.OrderKeys = s.OrderKeys[1:]
}
