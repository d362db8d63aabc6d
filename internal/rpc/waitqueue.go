package rpc

import "slices"

// waitQueue is a FIFO queue of waiting calls. Each call is represented by the channel whose closing wakes it. The
// owner's mutex guards the queue.
type waitQueue []chan struct{}

// join adds a call at the end, and returns the channel that is closed when the call is woken.
func (w *waitQueue) join() (woken chan struct{}) {
	woken = make(chan struct{})
	*w = append(*w, woken)
	return woken
}

// wakeFirst wakes and removes the call that has waited longest. The queue must not be empty.
func (w *waitQueue) wakeFirst() {
	close((*w)[0])
	*w = (*w)[1:]
}

// leave removes a call that stops waiting. It reports false if the call has already been woken.
func (w *waitQueue) leave(woken chan struct{}) bool {
	at := slices.Index(*w, woken)
	if at < 0 {
		return false
	}
	*w = slices.Delete(*w, at, at+1)
	return true
}
