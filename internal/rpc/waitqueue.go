package rpc

import "slices"

// waitQueue is a first-in, first-out queue of calls that wait. Its owner's mutex guards it.
type waitQueue []chan struct{}

// join adds a call at the end; the channel is closed when it is woken.
func (w *waitQueue) join() (woken chan struct{}) {
	woken = make(chan struct{})
	*w = append(*w, woken)
	return woken
}

// wakeFirst wakes the call that waits for longest. The queue must not be empty.
func (w *waitQueue) wakeFirst() {
	close((*w)[0])
	*w = (*w)[1:]
}

// leave removes a call that waits no more; false: it was woken already.
func (w *waitQueue) leave(woken chan struct{}) bool {
	at := slices.Index(*w, woken)
	if at < 0 {
		return false
	}
	*w = slices.Delete(*w, at, at+1)
	return true
}
