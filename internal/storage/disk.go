package storage

import "io"

// Disk is one folder. Names have no path. A crash may lose a change that is not synced yet, or any part of it. Errors
// are of kind Disk, or those of the operating system, which the store wraps.
type Disk interface {
	// Create makes an empty file for writing. It fails if the name is taken.
	Create(name string) (File, error)
	// Open opens a file for reading from its start. It fails if there is none.
	Open(name string) (File, error)
	// List returns the names of the files, in any order.
	List() ([]string, error)
	// Remove removes a file. It fails if there is none.
	Remove(name string) error
	// Rename renames a file, in place of one that has the new name. It is atomic: after a crash either file is there
	// whole.
	Rename(from, to string) error
	// Sync makes the creations, removals and renames before it durable.
	Sync() error
}

// File is a file that is either read or written, from its start to its end.
type File interface {
	io.Reader
	io.Writer
	// Sync makes the bytes written before it, and the length, durable. What a failed one leaves behind is unknown.
	Sync() error
	Close() error
}
