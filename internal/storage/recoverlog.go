package storage

import "crosstide/internal/errs"

// recoveredLog is the log as it was read.
type recoveredLog struct {
	state           logState
	segments        []segment // up to the last valid one
	tail            []Record  // records of the last valid segment
	droppedSegments int       // segments after it
	tornBytes       int64     // bytes after the last valid record
}

// readLog reads the log up to its first bad byte, which may only be the torn end of the whole log.
func readLog(folder folderContents) (log recoveredLog, err error) {
	for i, stored := range folder.segments {
		if i > 0 && stored.number != folder.segments[i-1].number+1 {
			return log, errs.New(errs.Damaged, "segment %d follows %d", stored.number, folder.segments[i-1].number)
		}
		records, end := readSegment(stored.bytes, stored.number)
		if err := log.addSegment(stored.number, records); err != nil {
			return log, errs.Pass(err, "records")
		}
		// The first records of a segment were synced before it got its name: no torn write takes them.
		lost := len(records) == 0 && folder.snapshotFiles > 0 || len(records) == 1 && len(records[0].Data) > 0
		if i == 0 && lost || len(records) > 0 && records[0].Kind != kindSnapshot {
			return log, errs.New(errs.Damaged, "segment %d lost its start", stored.number)
		}
		if end < len(stored.bytes) || len(records) == 0 {
			return log, errs.Pass(log.truncateAt(folder, i, end), "torn end")
		}
	}
	return log, nil
}

// addSegment applies the records of the next segment. A gap in the indexes is errs.Damaged.
func (l *recoveredLog) addSegment(number uint64, records []Record) error {
	g := segment{number: number}
	for _, r := range records {
		if !l.state.apply(r) {
			return errs.New(errs.Damaged, "segment %d: entry %d follows %d", number, r.Index, l.state.lastIndex())
		}
		g.track(r)
	}
	l.segments, l.tail = append(l.segments, g), records
	return nil
}

// truncateAt ends the log at a byte of segment i. A valid record after it is errs.Damaged: a torn write leaves none.
func (l *recoveredLog) truncateAt(folder folderContents, i, end int) error {
	torn := folder.segments[i]
	hasLater := anyRecord(torn.bytes, torn.number, end)
	l.tornBytes = int64(len(torn.bytes) - end)
	for _, later := range folder.segments[i+1:] {
		hasLater = hasLater || anyRecord(later.bytes, later.number, 0)
		l.tornBytes += int64(len(later.bytes))
	}
	if hasLater {
		return errs.New(errs.Damaged, "segment %d is bad at byte %d, before valid records", torn.number, end)
	}
	l.droppedSegments = len(folder.segments) - 1 - i
	return nil
}
