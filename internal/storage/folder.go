package storage

import (
	"io"
	"slices"
	"strings"

	"crosstide/internal/errs"
)

// The names of the store's files. They must never change, as existing folders have them.
const (
	unfinishedSuffix = ".tmp" // suffix of a file that may not be synced yet
	segmentPrefix    = "log-" // prefix of a segment's file name, followed by its number
)

// snapshotFileNames are the names of the two snapshot files, which are written alternately.
var snapshotFileNames = [2]string{"slot-a", "slot-b"}

// folderContents holds the files of a store that Open has read from a folder.
type folderContents struct {
	snapshots     []storedSnapshot // the valid snapshots, newest first
	snapshotFiles int              // number of snapshot files, valid or not
	segments      []storedSegment  // in order of their numbers
	unfinished    []string         // names of files whose write did not finish
}

// storedSnapshot is a valid snapshot in a file.
type storedSnapshot struct {
	Snapshot
	file int // index in snapshotFileNames
}

// storedSegment is the content of a segment's file, not validated yet.
type storedSegment struct {
	number uint64
	data   []byte
}

// scanFolder reads the files of a store in a folder, and ignores other files. Failure: Disk.
func scanFolder(d Disk) (folder folderContents, err error) {
	names, err := d.List()
	if err != nil {
		return folder, errs.Pass(err, "scan the folder")
	}
	slices.Sort(names)
	for _, name := range names {
		if strings.HasSuffix(name, unfinishedSuffix) {
			folder.unfinished = append(folder.unfinished, name)
			continue
		}
		snapshotFile := slices.Index(snapshotFileNames[:], name)
		number, isSegment := segmentNumber(name)
		if snapshotFile < 0 && !isSegment {
			continue
		}
		data, err := readFile(d, name)
		if err != nil {
			return folder, errs.Pass(err, "scan %s", name)
		}
		if isSegment {
			folder.segments = append(folder.segments, storedSegment{number, data})
		} else {
			folder.addSnapshot(data, snapshotFile)
		}
	}
	return folder, nil
}

// addSnapshot decodes and adds the content of a snapshot's file. An invalid file is only counted: Open may be able to
// recover from the other snapshot and the log.
func (f *folderContents) addSnapshot(data []byte, file int) {
	f.snapshotFiles++
	snap, err := decodeSnapshot(data)
	if err != nil {
		return
	}
	at := 0
	if len(f.snapshots) > 0 && f.snapshots[0].Number > snap.Number {
		at = 1
	}
	f.snapshots = slices.Insert(f.snapshots, at, storedSnapshot{snap, file})
}

// readFile returns the content of a file. Failure: Disk.
func readFile(d Disk, name string) ([]byte, error) {
	file, err := d.Open(name)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open %s", name)
	}
	defer file.Close()
	data, err := io.ReadAll(file)
	return data, errs.Wrap(err, errs.Disk, "read %s", name)
}

// writeFile writes a file under a temporary name, syncs it, renames it and syncs the folder, so that a file under its
// final name is always complete. It returns the file, which is still open for writing.
func (s *Store) writeFile(name string, parts ...[]byte) (File, error) {
	file, err := s.disk.Create(name + unfinishedSuffix)
	if err != nil {
		return nil, errs.Wrap(markFull(err), errs.Disk, "create %s", name)
	}
	bytes := 0
	for _, part := range parts {
		if _, err = file.Write(part); err != nil {
			err = markFull(err)
			break
		}
		bytes += len(part)
	}
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = markFull(s.disk.Rename(name+unfinishedSuffix, name))
	}
	if err == nil {
		err = s.disk.Sync()
	}
	if err != nil {
		_ = file.Close() // the write has failed already
		return nil, errs.Wrap(err, errs.Disk, "write %s", name)
	}
	s.updateStats(func(stats *Stats) { stats.Syncs, stats.Bytes = stats.Syncs+2, stats.Bytes+uint64(bytes) })
	return file, nil
}

// removeUnfinished removes the temporary file that a failed write of name left on a full disk, so that it does not
// occupy space. It has no effect if that file does not exist.
func (s *Store) removeUnfinished(name string) error {
	names, err := s.disk.List()
	if err != nil {
		return errs.Pass(err, "remove an unfinished file")
	}
	if slices.Contains(names, name+unfinishedSuffix) {
		return errs.Pass(s.disk.Remove(name+unfinishedSuffix), "remove an unfinished file")
	}
	return nil
}

// RemoveFiles removes the files of a store from a folder, leaves all other files in place, and syncs the folder. No
// Store may be open on the folder. Failure: Disk.
func RemoveFiles(d Disk) error {
	names, err := d.List()
	if err != nil {
		return errs.Pass(err, "clear the folder")
	}
	for _, name := range names {
		_, isSegment := segmentNumber(name)
		if !isSegment && !slices.Contains(snapshotFileNames[:], name) && !strings.HasSuffix(name, unfinishedSuffix) {
			continue
		}
		if err := d.Remove(name); err != nil {
			return errs.Pass(err, "clear the folder")
		}
	}
	return errs.Pass(d.Sync(), "clear the folder")
}
