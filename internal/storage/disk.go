package storage

import "io"

// Disk is one folder. Names have no path. A change that is not synced yet may be lost by a crash, or any part of it.
type Disk interface {
	Create(name string) (File, error) // a new empty file to write; fails when the name is taken
	Open(name string) (File, error)   // to read from the start
	List() ([]string, error)          // the names of the files, in any order
	Remove(name string) error
	Rename(from, to string) error // replaces a file of the new name
	Sync() error                  // makes creations, removals and renames durable
}

// File is a file that is either read or written from its start to its end.
type File interface {
	io.Reader
	io.Writer
	Sync() error // makes the bytes and the length durable
	Close() error
}
