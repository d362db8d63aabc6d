package storage

// flip inverts the bits of mask in one byte of a file. It has no effect past the end of the file.
func (d *MemDisk) flip(name string, offset int, mask byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.live[name]; n != nil && offset < len(n.data) {
		n.data[offset] ^= mask
	}
}
