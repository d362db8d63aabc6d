package state

import (
	"encoding/json"
	"time"
)

// AnsweredOrder is the remembered answer to an operator's order, by which a repeated order is answered alike.
type AnsweredOrder struct {
	Digest string          `json:"d"` // of the order's op and content
	Answer json.RawMessage `json:"a"`
	At     time.Time       `json:"at"`
}

// RememberOrder records the answer to an order, as of now.
func (s *State) RememberOrder(id, digest string, answer json.RawMessage) {
	s.Orders[id] = &AnsweredOrder{Digest: digest, Answer: answer, At: s.At}
	s.OrderKeys = append(s.OrderKeys, id)
}

// DropOldestOrder forgets the oldest answered order; the same order would be applied again.
func (s *State) DropOldestOrder() {
	delete(s.Orders, s.OrderKeys[0])
	s.OrderKeys = s.OrderKeys[1:]
}
