package scheduler

// orderSent counts an order to a worker as in flight.
func (c *Core) orderSent(w *worker) {
	w.ordersInFlight++
	c.ordersInFlight++
}

// orderDone counts an order as no longer in flight: it was answered, or it has failed.
func (c *Core) orderDone(w *worker) {
	if w.ordersInFlight == 0 {
		return // the order was sent under an earlier term
	}
	w.ordersInFlight--
	c.ordersInFlight--
}

// orderBudget returns how many more starts may be planned. Unsent start orders count as in flight.
func (c *Core) orderBudget() int {
	return c.cfg.MaxOrdersInFlight - c.ordersInFlight - len(c.unsentStarts)
}

// canOrder reports whether one more order may be in flight to the worker.
func (w *worker) canOrder(c *Core) bool {
	if w.contact.isThrottled(c.now) {
		return w.ordersInFlight == 0
	}
	return w.ordersInFlight < c.cfg.MaxOrdersPerWorker
}
