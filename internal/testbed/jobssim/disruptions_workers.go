package jobssim

import "time"

// longOutage is added to the duration of some crashes and disconnections.
const longOutage = 20 * time.Second

// cutFromNode disconnects the worker from one node, in most cases the leader.
func (w *workerIncarnation) cutFromNode(d time.Duration) time.Duration {
	host, s := w.host, w.host.sim
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if s.chance(0.5) && s.log.leader != nil {
		n = s.log.leader
	}
	if s.chance(0.3) {
		d += longOutage
	}
	host.cutFrom[n] = true
	s.after(d, func() { delete(host.cutFrom, n) })
	return d
}

// crash ends the worker and starts another incarnation after a while.
func (w *workerIncarnation) crash(d time.Duration) time.Duration {
	s := w.host.sim
	w.terminate()
	if s.chance(0.3) {
		d += longOutage
	}
	s.after(s.between(500*time.Millisecond, d), w.host.startWorker)
	return d
}

// cutFromCore disconnects the worker from all nodes.
func (w *workerIncarnation) cutFromCore(d time.Duration) time.Duration {
	d += w.host.sim.between(0, 4*time.Second)
	w.host.cutFor(d)
	return d
}

func (w *workerIncarnation) drainAndReplace(time.Duration) time.Duration {
	w.drain()
	w.host.replace()
	return maxDrainTime
}

func (w *workerIncarnation) leaveAndReplace(time.Duration) time.Duration {
	w.deregister()
	w.host.replace()
	return maxDrainTime
}

func (w *workerIncarnation) flap(d time.Duration) time.Duration {
	w.host.flap(w.host.sim.now + d)
	return d
}

// reportUnhealthy makes a healthy worker refuse starts as unhealthy.
func (w *workerIncarnation) reportUnhealthy(d time.Duration) time.Duration {
	w.refuses = true
	w.host.sim.after(d, func() { w.refuses = false })
	return d
}

// failPart makes a random share of the runs on the worker fail.
func (w *workerIncarnation) failPart(d time.Duration) time.Duration {
	w.failShare = w.host.sim.between(200*time.Millisecond, 700*time.Millisecond).Seconds()
	w.host.sim.after(d, func() { w.failShare = 0 })
	return d
}

// delayHeartbeats makes heartbeats arrive late and out of order. In half of the cases the worker also drains, so that
// heartbeats from before the drain arrive after those that report it.
func (w *workerIncarnation) delayHeartbeats(d time.Duration) time.Duration {
	host, s := w.host, w.host.sim
	host.heartbeatsDelayedUntil = s.now + d
	host.heartbeatsUnreliableUntil = max(host.heartbeatsUnreliableUntil, s.now+d+maxHeartbeatDelay)
	if s.chance(0.5) {
		s.after(time.Second, w.drain)
		d = time.Second + maxDrainTime
		host.replace()
	}
	return d
}

func (w *workerIncarnation) hang(d time.Duration) time.Duration {
	w.stall()
	w.host.sim.after(d, w.resume)
	return d
}

func (w *workerIncarnation) slowDown(d time.Duration) time.Duration {
	w.slowFactor = 3
	w.host.sim.after(d, func() { w.slowFactor = 1 })
	return d
}

func (w *workerIncarnation) failAll(d time.Duration) time.Duration {
	w.failsAll = true
	w.host.sim.after(d/2, func() { w.failsAll = false })
	return d
}

// delayOrders makes many orders sent to the worker within d arrive late.
func (w *workerIncarnation) delayOrders(d time.Duration) time.Duration {
	w.host.lateUntil = w.host.sim.now + d
	return d + maxLateDelay
}

// loseAnswers loses half or all of the answers of the worker.
func (w *workerIncarnation) loseAnswers(d time.Duration) time.Duration {
	s := w.host.sim
	w.host.answersLostUntil, w.host.answerLossShare = s.now+d, []float64{0.5, 1}[s.rng.IntN(2)]
	return d
}

// cutFor disconnects the host from all nodes for d.
func (host *workerHost) cutFor(d time.Duration) {
	s := host.sim
	host.isCutOff = true
	host.heartbeatsUnreliableUntil = max(host.heartbeatsUnreliableUntil, s.now+d)
	s.after(d, func() { host.isCutOff = false })
}

// maxDrainTime is the longest time from the moment at which a worker begins to drain or leave until its end.
const maxDrainTime = 10 * time.Second

// replace starts another incarnation after the present one has drained or left.
func (host *workerHost) replace() {
	s := host.sim
	s.after(maxDrainTime+time.Second+s.between(100*time.Millisecond, 2*time.Second), host.startWorker)
}

// stall stops the progress of all tasks on the worker until resume is called.
func (w *workerIncarnation) stall() {
	if w.stalledSince == 0 {
		w.stalledSince = w.host.sim.now
	}
}

func (w *workerIncarnation) resume() {
	if w.stalledSince > 0 {
		w.stalledFor += w.host.sim.now - w.stalledSince
		w.stalledSince = 0
	}
}
