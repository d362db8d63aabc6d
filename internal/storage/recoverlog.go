package storage

import "crosstide/internal/errs"

// recoveredLog is the log that Open has read, up to its torn end if it has one.
type recoveredLog struct {
	state           logState
	segments        []segment // up to the one with the torn end
	tail            []Record  // the valid records of the last element of segments
	droppedSegments int       // number of segments in the folder after the last element of segments
	tornBytes       int64     // length of the torn end: all bytes after the last valid record
}

// readLog reads the log up to the first invalid record, which may be a torn write at the end of the log. Failure:
// Damaged if there is a gap between segments or entries, a segment without its first records, or a valid record after
// an invalid one.
func readLog(folder folderContents) (log recoveredLog, err error) {
	for i, stored := range folder.segments {
		if i > 0 && stored.number != folder.segments[i-1].number+1 {
			return log, errs.New(errs.Damaged, "gap in the log: segment %d follows segment %d",
				stored.number, folder.segments[i-1].number)
		}
		records, end := readSegment(stored.data, stored.number)
		if err := log.addSegment(stored.number, records); err != nil {
			return log, errs.Pass(err, "records")
		}
		// The first records of a segment (see segmentHead) were synced before its file was renamed, so a torn write
		// cannot affect them. Data in the first record means that a hard state must follow it.
		isHeadLost := len(records) == 0 && folder.snapshotFiles > 0 || len(records) == 1 && len(records[0].Data) > 0
		if i == 0 && isHeadLost || len(records) > 0 && records[0].Kind != kindSnapshot {
			return log, errs.New(errs.Damaged, "segment %d: the first records are missing", stored.number)
		}
		if end < len(stored.data) || len(records) == 0 {
			return log, errs.Pass(log.truncateAt(folder, i, end), "truncate the torn end")
		}
	}
	return log, nil
}

// addSegment applies the records of the next segment. Failure: Damaged if there is a gap in the indexes.
func (l *recoveredLog) addSegment(number uint64, records []Record) error {
	g := segment{number: number}
	for _, r := range records {
		if !l.state.apply(r) {
			return errs.New(errs.Damaged, "gap in segment %d: entry %d follows entry %d",
				number, r.Index, l.state.lastIndex())
		}
		g.track(r)
	}
	l.segments, l.tail = append(l.segments, g), records
	return nil
}

// truncateAt ends the log at offset end of segment i. Failure: Damaged if a valid record follows: in that case the
// invalid one is not a torn write at the end of the log.
func (l *recoveredLog) truncateAt(folder folderContents, i, end int) error {
	torn := folder.segments[i]
	hasLater := hasRecord(torn.data, torn.number, end)
	l.tornBytes = int64(len(torn.data) - end)
	for _, later := range folder.segments[i+1:] {
		hasLater = hasLater || hasRecord(later.data, later.number, 0)
		l.tornBytes += int64(len(later.data))
	}
	if hasLater {
		return errs.New(errs.Damaged, "segment %d: invalid record at byte %d is followed by a valid one",
			torn.number, end)
	}
	l.droppedSegments = len(folder.segments) - 1 - i
	return nil
}
