package storage

import (
	"io"
	"slices"
	"strings"

	"crosstide/internal/errs"
)

// Parts of the names of files.
const (
	unfinishedSuffix = ".tmp" // of a file that may not be synced yet
	segmentPrefix    = "log-" // of a segment, before its number
)

// snapshotFileNames are the files of the two snapshots.
var snapshotFileNames = [2]string{"slot-a", "slot-b"}

// folderContents is a folder as it was read.
type folderContents struct {
	snapshots     []storedSnapshot // valid ones, newest first
	snapshotFiles int              // valid or not
	segments      []storedSegment  // in order of their numbers
	unfinished    []string         // names of files that a write did not finish
}

// storedSnapshot is a valid snapshot and the index of its file in snapshotFileNames.
type storedSnapshot struct {
	Snapshot
	file int
}

// storedSegment is a segment's file, not checked yet.
type storedSegment struct {
	number uint64
	bytes  []byte
}

// scanFolder reads all files of a store in a folder, and ignores others. Failure: Disk.
func scanFolder(d Disk) (folder folderContents, err error) {
	names, err := d.List()
	if err != nil {
		return folder, errs.Pass(err, "look at the folder")
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
		all, err := readFile(d, name)
		if err != nil {
			return folder, errs.Pass(err, "look at %s", name)
		}
		if isSegment {
			folder.segments = append(folder.segments, storedSegment{number, all})
		} else {
			folder.addSnapshot(all, snapshotFile)
		}
	}
	return folder, nil
}

// addSnapshot adds a snapshot's file. One that is not valid is only counted: the other one and the log decide.
func (f *folderContents) addSnapshot(all []byte, file int) {
	f.snapshotFiles++
	snap, err := decodeSnapshot(all)
	if err != nil {
		return
	}
	at := 0
	if len(f.snapshots) > 0 && f.snapshots[0].Number > snap.Number {
		at = 1
	}
	f.snapshots = slices.Insert(f.snapshots, at, storedSnapshot{snap, file})
}

func readFile(d Disk, name string) ([]byte, error) {
	file, err := d.Open(name)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open %s", name)
	}
	defer file.Close()
	all, err := io.ReadAll(file)
	return all, errs.Wrap(err, errs.Disk, "read %s", name)
}

// writeFile writes a file under a temporary name, syncs it, renames it and syncs the folder.
func (s *Store) writeFile(name string, parts ...[]byte) (File, error) {
	file, err := s.disk.Create(name + unfinishedSuffix)
	if err != nil {
		return nil, errs.Wrap(markFull(err), errs.Disk, "create %s", name)
	}
	bytes := 0
	for _, p := range parts {
		if _, err = file.Write(p); err != nil {
			err = markFull(err)
			break
		}
		bytes += len(p)
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

// removeUnfinished removes what a write that found the disk full left of a file under its temporary name, so that it
// takes no space.
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

// Clear removes every file of a store from the folder, and only those, and syncs the folder. Failure: Disk.
func Clear(d Disk) error {
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
