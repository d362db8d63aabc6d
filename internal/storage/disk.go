package storage

import "io"

// Disk is a single folder. File names have no path. A crash may lose an unsynced change or any part of it. Errors have
// kind Disk, or are those of the operating system, which the store wraps.
type Disk interface {
	// Create creates an empty file for writing. It fails if the file exists.
	Create(name string) (File, error)
	// Open opens a file for reading from its start. It fails if the file does not exist.
	Open(name string) (File, error)
	// List returns the names of the files, in any order.
	List() ([]string, error)
	// Remove removes a file. It fails if the file does not exist.
	Remove(name string) error
	// Rename renames a file and replaces any file with the new name. It is atomic: after a crash the new name refers to
	// the complete old or the complete new file.
	Rename(from, to string) error
	// Sync makes all earlier creations, removals and renames durable.
	Sync() error
}

// File is a file that is either read or written sequentially from its start.
type File interface {
	io.Reader
	io.Writer
	// Sync makes the bytes written so far and the length durable. After a failure it is unknown which bytes are
	// durable.
	Sync() error
	Close() error
}
