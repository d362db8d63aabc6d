package policysim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"crosstide/internal/state/command"
)

// orderTimeout bounds the time for which an operator waits for an answer.
const orderTimeout = 5 * time.Second

// sendOrder sends an operator's order until it is acknowledged, then calls done, and sometimes sends the order again,
// which must return the same answer (invariant: order once). firstAnswer is the answer that acknowledged the order, or
// nil.
func (c *clients) sendOrder(cmd command.Command, firstAnswer json.RawMessage, done func()) {
	c.operator.propose(cmd, c.Now()+orderTimeout, func(answer json.RawMessage, err error) {
		s := c.sim
		switch {
		case err != nil:
			c.after(200*time.Millisecond, func() { c.sendOrder(cmd, firstAnswer, done) })
		case firstAnswer != nil:
			s.countCase("order once")
			if !bytes.Equal(firstAnswer, answer) {
				s.reportViolation("order once", "an order sent again was answered %s, first %s", answer, firstAnswer)
			}
		default:
			done()
			if s.chance(0.5) {
				c.sendOrder(cmd, answer, done)
			}
		}
	})
}

// sendInOrder sends each order after the previous one is acknowledged, and calls done after the last.
func (c *clients) sendInOrder(orders []command.Command, done func()) {
	if len(orders) == 0 {
		done()
		return
	}
	c.sendOrder(orders[0], nil, func() { c.sendInOrder(orders[1:], done) })
}

// evacuateZone evacuates a zone for a while. It returns false if a zone is evacuated already.
func (c *clients) evacuateZone(zone string) (ordered bool) {
	if len(c.evacuatedZones) > 0 {
		return false
	}
	s := c.sim
	c.evacuatedZones[zone] = true
	c.sendInOrder(s.billing.signedEvacuation(c.evacuationOrder(zone, true)), func() {
		s.trace("operator: %s is evacuated", zone)
		s.checker.evacuated[zone] = s.now
		s.countCase("evacuated")
		c.after(s.between(3*time.Second, 12*time.Second), func() { c.liftEvacuation(zone) })
	})
	return true
}

// liftEvacuation lifts the evacuation of a zone. Starts in the zone are allowed as soon as the order is sent, because
// it may be committed long before it is acknowledged.
func (c *clients) liftEvacuation(zone string) {
	s := c.sim
	delete(s.checker.evacuated, zone)
	c.sendInOrder(s.billing.signedEvacuation(c.evacuationOrder(zone, false)), func() {
		s.trace("operator: %s is open", zone)
		delete(c.evacuatedZones, zone)
	})
}

func (c *clients) evacuationOrder(zone string, evacuate bool) command.EvacuateZone {
	c.orderCount++
	return command.EvacuateZone{Order: fmt.Sprintf("o%d", c.orderCount), Zone: zone, Start: evacuate}
}
