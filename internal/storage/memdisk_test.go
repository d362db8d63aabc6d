package storage

// flip inverts the bits of mask in one byte of a file; nothing happens past its end.
func (d *MemDisk) flip(name string, offset int, mask byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.live[name]; n != nil && offset < len(n.data) {
		n.data[offset] ^= mask
	}
}
