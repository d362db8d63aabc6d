package jobssim

import "time"

// longAbsence is how much longer some workers are away.
const longAbsence = 20 * time.Second

// cutFromNode cuts the worker off from one node, mostly the leader.
func (w *workerIncarnation) cutFromNode(d time.Duration) time.Duration {
	host, s := w.host, w.host.sim
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if s.chance(0.5) && s.log.leader != nil {
		n = s.log.leader
	}
	if s.chance(0.3) {
		d += longAbsence
	}
	host.cutFrom[n] = true
	s.after(d, func() { delete(host.cutFrom, n) })
	return d
}

// crash ends the worker; another incarnation starts after a while.
func (w *workerIncarnation) crash(d time.Duration) time.Duration {
	s := w.host.sim
	w.terminate()
	if s.chance(0.3) {
		d += longAbsence
	}
	s.after(s.between(500*time.Millisecond, d), w.host.startWorker)
	return d
}

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

// reportUnhealthy makes the worker refuse starts as unhealthy, though it is not.
func (w *workerIncarnation) reportUnhealthy(d time.Duration) time.Duration {
	w.refuses = true
	w.host.sim.after(d, func() { w.refuses = false })
	return d
}

func (w *workerIncarnation) failPart(d time.Duration) time.Duration {
	w.failShare = w.host.sim.between(200*time.Millisecond, 700*time.Millisecond).Seconds()
	w.host.sim.after(d, func() { w.failShare = 0 })
	return d
}

// delayHeartbeats makes heartbeats come late and out of order: with a drain, some that say that the worker is ready
// come after those that say that it drains.
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

// delayOrders makes the worker carry out many orders late, the last ones after d.
func (w *workerIncarnation) delayOrders(d time.Duration) time.Duration {
	w.host.lateUntil = w.host.sim.now + d
	return d + maxLateDelay
}

func (w *workerIncarnation) loseAnswers(d time.Duration) time.Duration {
	s := w.host.sim
	w.host.answersLostUntil, w.host.answerLossShare = s.now+d, []float64{0.5, 1}[s.rng.IntN(2)]
	return d
}

// cutFor cuts the host off from the whole core for a while.
func (host *workerHost) cutFor(d time.Duration) {
	s := host.sim
	host.isCutOff = true
	host.heartbeatsUnreliableUntil = max(host.heartbeatsUnreliableUntil, s.now+d)
	s.after(d, func() { host.isCutOff = false })
}

// maxDrainTime is the longest from a worker's first report that it drains or leaves to its end.
const maxDrainTime = 10 * time.Second

// replace starts another incarnation once the present one has ended as planned.
func (host *workerHost) replace() {
	s := host.sim
	s.after(maxDrainTime+time.Second+s.between(100*time.Millisecond, 2*time.Second), host.startWorker)
}

// stall stops the progress of all tasks of a worker, until resume.
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
