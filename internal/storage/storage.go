// Package storage is the durable storage of the control store: two slots written in turn, each with the whole
// state, and a short log between. Only what is synced counts. Every file gets its name after it is synced, and
// the only file that is written under its name is the last segment of the log; so a torn write shows only there.
package storage

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
)

const (
	loose  = ".tmp" // ends the name of a file that is not synced yet
	logTag = "log-"
)

var slotNames = [2]string{"slot-a", "slot-b"}

// Options of a store.
type Options struct {
	Clock clock.Clock // times the syncs for Stats; nil takes clock.Real
}

// Boot is what Open found.
type Boot struct {
	Image   *Image   // the newest slot that the log follows; nil if none was ever written
	Records []Record // the last KindHard if there is one, then the entries after Image, without a hole
	Fresh   bool     // the folder holds no image, no hard state and no entry
	Cut     int64    // bytes of torn tail that were cut
}

// Stats counts since Open.
type Stats struct {
	Syncs, Bytes, Records, Slots, Segments uint64        // Bytes are all bytes written; Segments those in the folder
	LastSync, LongestSync                  time.Duration // of Append
}

// Store is an open folder. Append, WriteSlot, NewestSlot and Stats may run at the same time.
type Store struct {
	disk  Disk
	clock clock.Clock
	slots sync.Mutex // held by one WriteSlot

	mu       sync.Mutex // the log and all below; never held while a slot is written
	file     File       // the last segment
	size     int
	buf      []byte
	segments []segment
	tale     tale // entries without Data
	broken   error
	newest   Image // without Meta and Body
	at       int   // the newest slot's place in slotNames
	closed   bool

	countMu sync.Mutex
	stats   Stats
}

type segment struct {
	number uint64
	top    uint64 // highest index of an entry
}

func (g segment) name() string { return fmt.Sprintf("%s%016d", logTag, g.number) }

func (g *segment) note(r Record) {
	if r.Kind < kindBase {
		g.top = max(g.top, r.Index)
	}
}

// Open reads the folder, cuts a torn tail and makes the rest durable. Failures: Damaged when data that may have
// been synced is lost (nothing in the folder was changed; do not use it as a member's disk any more), Disk.
// Example:
//
//	store, boot, err := storage.Open(disk, storage.Options{})
//	if errs.Is(err, errs.Damaged) {
//		// rejoin as a replaced machine
//	}
func Open(d Disk, opt Options) (*Store, Boot, error) {
	s := &Store{disk: d, clock: opt.Clock, at: 1}
	if s.clock == nil {
		s.clock = clock.Real{}
	}
	boot, err := s.open()
	if err != nil {
		return nil, Boot{}, errs.Pass(err, "open the store")
	}
	return s, boot, nil
}

// found is the folder as it is read.
type found struct {
	images  []Image // valid slots, newest first
	places  []int   // their places in slotNames
	slots   int     // slot files, valid or not
	loose   []string
	numbers []uint64 // of the segments
	bytes   [][]byte
}

func (s *Store) look() (f found, err error) {
	names, err := s.disk.List()
	if err != nil {
		return f, errs.Pass(err, "look at the folder")
	}
	slices.Sort(names)
	for _, name := range names {
		place := slices.Index(slotNames[:], name)
		number, isLog := segmentNumber(name)
		switch {
		case strings.HasSuffix(name, loose):
			f.loose = append(f.loose, name)
			continue
		case place < 0 && !isLog:
			continue // not ours
		}
		all, err := s.read(name)
		if err != nil {
			return f, errs.Pass(err, "look at %s", name)
		}
		if isLog {
			f.numbers, f.bytes = append(f.numbers, number), append(f.bytes, all)
			continue
		}
		f.slots++
		img, err := readSlot(all)
		if err != nil {
			continue // the other slot and the log decide
		}
		i := 0
		if len(f.images) > 0 && f.images[0].Number > img.Number {
			i = 1
		}
		f.images, f.places = slices.Insert(f.images, i, img), slices.Insert(f.places, i, place)
	}
	return f, nil
}

// segmentNumber gives the number of the log segment that has the name; false if none has.
func segmentNumber(name string) (number uint64, ok bool) {
	_, err := fmt.Sscanf(name, logTag+"%d", &number)
	return number, err == nil && segment{number: number}.name() == name
}

// Clear removes every file of a store from the folder, and only those, and makes it last. Failure: Disk.
func Clear(d Disk) error {
	names, err := d.List()
	if err != nil {
		return errs.Pass(err, "clear the folder")
	}
	for _, name := range names {
		_, isLog := segmentNumber(name)
		if !isLog && !slices.Contains(slotNames[:], name) && !strings.HasSuffix(name, loose) {
			continue
		}
		if err := d.Remove(name); err != nil {
			return errs.Pass(err, "clear the folder")
		}
	}
	return errs.Pass(d.Sync(), "clear the folder")
}

func (s *Store) read(name string) ([]byte, error) {
	file, err := s.disk.Open(name)
	if err != nil {
		return nil, errs.Wrap(err, errs.Disk, "open %s", name)
	}
	defer file.Close()
	all, err := io.ReadAll(file)
	return all, errs.Wrap(err, errs.Disk, "read %s", name)
}

func (s *Store) open() (boot Boot, err error) {
	f, err := s.look()
	if err != nil {
		return boot, errs.Pass(err, "files of the store")
	}
	// Read the log up to its first bad byte, which may only be the torn end of it all.
	var tail []Record // records of the last segment that counts
	var told tale
	dropped := 0 // segments after it
	for i, number := range f.numbers {
		if i > 0 && number != f.numbers[i-1]+1 {
			return boot, errs.New(errs.Damaged, "segment %d follows %d", number, f.numbers[i-1])
		}
		recs, end := readSegment(f.bytes[i], number)
		g := segment{number: number}
		for _, r := range recs {
			if !told.add(r) {
				return boot, errs.New(errs.Damaged, "segment %d: entry %d follows %d", number, r.Index, told.last())
			}
			g.note(r)
		}
		s.segments, tail = append(s.segments, g), recs
		// The first records of a segment were synced before it got its name: no torn write takes them.
		lost := len(recs) == 0 && f.slots > 0 || len(recs) == 1 && len(recs[0].Data) > 0
		if i == 0 && lost || len(recs) > 0 && recs[0].Kind != kindBase {
			return boot, errs.New(errs.Damaged, "segment %d lost its start", number)
		}
		if end == len(f.bytes[i]) && len(recs) > 0 {
			continue
		}
		later := anyRecord(f.bytes[i], number, end)
		for j := i; j < len(f.numbers); j++ {
			later = later || j > i && anyRecord(f.bytes[j], f.numbers[j], 0)
			boot.Cut += int64(len(f.bytes[j]))
		}
		if boot.Cut -= int64(end); later {
			return boot, errs.New(errs.Damaged, "segment %d is bad at byte %d, before valid records", number, end)
		}
		dropped = len(f.numbers) - 1 - i
		break
	}
	if len(f.numbers) == 0 && f.slots > 0 {
		return boot, errs.New(errs.Damaged, "slots without a log")
	}
	if err := s.choose(f, &told, &boot); err != nil {
		return boot, errs.Pass(err, "newest slot")
	}
	return boot, errs.Pass(s.settle(f, dropped, tail, told), "end of the log")
}

// choose takes the newest image that the log follows.
func (s *Store) choose(f found, told *tale, boot *Boot) error {
	for i := range f.images {
		img, t := f.images[i], *told
		if t.base.Index != img.Index || t.base.Term != img.Term {
			t.rebase(Record{Kind: kindBase, Index: img.Index, Term: img.Term})
		}
		if entries, ok := t.after(img.Index); ok {
			*told, s.at, boot.Image = t, f.places[i], &img
			s.newest = Image{Number: img.Number, Index: img.Index, Term: img.Term}
			boot.Records = slices.Clone(entries)
			break
		}
	}
	if boot.Image == nil {
		entries, ok := told.after(0)
		if !ok || len(f.images) > 0 {
			return errs.New(errs.Damaged, "the log does not follow any valid slot (%d of %d valid)", len(f.images), f.slots)
		}
		boot.Records = slices.Clone(entries)
	}
	if told.hard != nil {
		boot.Records = slices.Insert(boot.Records, 0, *told.hard)
	}
	boot.Fresh = boot.Image == nil && len(boot.Records) == 0
	return nil
}

// settle writes the last segment anew, so that what Open gives lasts even if it was read from the memory of the
// machine after a failed sync or a kill, and removes what does not count.
func (s *Store) settle(f found, dropped int, tail []Record, told tale) error {
	for _, name := range f.loose {
		if err := s.disk.Remove(name); err != nil {
			return errs.Wrap(err, errs.Disk, "remove %s", name)
		}
	}
	if len(s.segments) == 0 {
		s.segments = []segment{{number: 1}}
	}
	last := s.segments[len(s.segments)-1]
	s.tale = tale{list: told.list, hard: told.hard, floor: told.floor, base: told.base}
	head := slices.Clone(tail)
	if len(tail) == 0 {
		head = s.head()
	} else if told.hard != nil && !slices.ContainsFunc(tail, func(r Record) bool { return r.Kind == KindHard }) {
		head = append(s.head(), tail[1:]...)
	}
	if s.newest.Number > 0 && !slices.ContainsFunc(head, func(r Record) bool {
		return r.Kind == kindBase && r.Index == s.newest.Index && r.Term == s.newest.Term
	}) {
		head = append(head, Record{Kind: kindBase, Index: s.newest.Index, Term: s.newest.Term})
	}
	s.tale.list = slices.Clone(told.list)
	for i := range s.tale.list {
		s.tale.list[i].Data = nil
	}
	if err := s.start(last, head); err != nil {
		return errs.Pass(err, "segment %d", last.number)
	}
	for i := range dropped { // from the end, so that no gap can stay
		number := f.numbers[len(f.numbers)-1-i]
		if err := s.removeSegment(number); err != nil {
			return errs.Pass(err, "drop segment %d", number)
		}
	}
	return nil
}

// head is what each segment starts with. Data in the first record says that the hard state follows.
func (s *Store) head() []Record {
	out := []Record{{Kind: kindBase, Index: s.newest.Index, Term: s.newest.Term}}
	if s.tale.hard != nil {
		out[0].Data = []byte{1}
		out = append(out, *s.tale.hard)
	}
	return out
}

// start makes g, with recs in it, the segment to append to.
func (s *Store) start(g segment, recs []Record) error {
	var buf []byte
	for _, r := range recs {
		buf = appendRecord(buf, g.number, 0, r)
	}
	file, err := s.place(g.name(), buf)
	if err != nil {
		return errs.Pass(err, "segment to append to")
	}
	if s.file != nil {
		_ = s.file.Close() // synced before
	}
	s.file, s.size = file, len(buf)
	return nil
}

// place writes a file under a loose name, syncs it, gives it its name and syncs the folder.
func (s *Store) place(name string, parts ...[]byte) (File, error) {
	file, err := s.disk.Create(name + loose)
	if err != nil {
		return nil, errs.Wrap(refused(err), errs.Disk, "create %s", name)
	}
	bytes := 0
	for _, p := range parts {
		if _, err = file.Write(p); err != nil {
			err = refused(err)
			break
		}
		bytes += len(p)
	}
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = refused(s.disk.Rename(name+loose, name))
	}
	if err == nil {
		err = s.disk.Sync()
	}
	if err != nil {
		_ = file.Close()
		return nil, errs.Wrap(err, errs.Disk, "write %s", name)
	}
	s.count(func(c *Stats) { c.Syncs, c.Bytes = c.Syncs+2, c.Bytes+uint64(bytes) })
	return file, nil
}

func (s *Store) removeSegment(number uint64) error {
	name := segment{number: number}.name()
	if err := s.disk.Remove(name); err != nil {
		return errs.Wrap(err, errs.Disk, "remove %s", name)
	}
	s.count(func(c *Stats) { c.Syncs++ })
	return errs.Wrap(s.disk.Sync(), errs.Disk, "sync the folder")
}

func (s *Store) count(add func(c *Stats)) {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	add(&s.stats)
}

// usable tells, under mu, whether the store may still write.
func (s *Store) usable() error {
	if s.broken != nil {
		return errs.Wrap(s.broken, errs.Disk, "the store failed before")
	}
	if s.closed {
		return errs.New(errs.Stopped, "the store is closed")
	}
	return nil
}

// fail ends the use of the store for good; called under mu.
func (s *Store) fail(err error) error {
	if s.broken == nil {
		s.broken = err
	}
	return errs.Wrap(err, errs.Disk, "the store failed")
}

// Append writes recs with one write and one sync and returns when they last. An entry replaces the one of its
// index and all after it; it must follow the last entry without a hole and lie past the newest image. Failures:
// Invalid and TooLarge (nothing was written), Stopped, Disk (a write or sync failed, now or before: end the
// process, or call Resume if IsFull; what recs became is unknown). Example:
//
//	err := store.Append([]storage.Record{{Kind: storage.KindHard, Data: vote}, {Term: 2, Index: 9, Data: order}})
func (s *Store) Append(recs []Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.usable(); err != nil {
		return errs.Pass(err, "append %d records", len(recs))
	}
	if len(recs) == 0 {
		return nil
	}
	last := max(s.tale.last(), s.newest.Index)
	s.buf = s.buf[:0]
	for _, r := range recs {
		switch {
		case len(r.Data) > MaxData:
			return errs.New(errs.TooLarge, "a record of %d bytes, at most %d", len(r.Data), MaxData)
		case r.Kind == kindBase:
			return errs.Field(errs.Invalid, "kind", "%d is the store's own", r.Kind)
		case r.Kind != KindHard && (r.Index > last+1 || r.Index <= s.newest.Index):
			return errs.Field(errs.Invalid, "index", "entry %d after %d, image at %d", r.Index, last, s.newest.Index)
		case r.Kind != KindHard:
			last = r.Index
		}
		s.buf = appendRecord(s.buf, s.segments[len(s.segments)-1].number, s.size, r)
	}
	if _, err := s.file.Write(s.buf); err != nil {
		return errs.Pass(s.fail(errs.Wrap(refused(err), errs.Disk, "write the log")), "append %d records", len(recs))
	}
	from := s.clock.Now()
	if err := s.file.Sync(); err != nil {
		return errs.Pass(s.fail(errs.Wrap(err, errs.Disk, "sync the log")), "append %d records", len(recs))
	}
	took := s.clock.Now() - from
	s.size += len(s.buf)
	for _, r := range recs {
		s.segments[len(s.segments)-1].note(r)
		if r.Data = slices.Clone(r.Data); r.Kind != KindHard {
			r.Data = nil
		}
		s.tale.add(r)
	}
	s.count(func(c *Stats) {
		c.Syncs, c.Bytes, c.Records = c.Syncs+1, c.Bytes+uint64(len(s.buf)), c.Records+uint64(len(recs))
		c.LastSync, c.LongestSync = took, max(c.LongestSync, took)
	})
	if cap(s.buf) > MaxData/16 {
		s.buf = nil
	}
	return nil
}

// WriteSlot makes img the newest slot (its Number is given here), starts a new segment and removes the segments
// whose entries all lie at or before the slot before it, and before keepFrom if that is not 0. Appends go on
// meanwhile but for the change of segment. An image of the own log must have the Term of its entry; one that
// came from another member must be written before the entries after it are appended: entries that it
// contradicts fall. Failures: Invalid (older than the newest slot), Stopped, Disk (as with Append; after IsFull the
// slot may be written again). Example:
//
//	err := store.WriteSlot(storage.Image{Index: applied, Term: term, Meta: members, Body: state}, 0)
func (s *Store) WriteSlot(img Image, keepFrom uint64) error {
	s.slots.Lock()
	defer s.slots.Unlock()
	s.mu.Lock()
	err, before, at := s.usable(), s.newest, 1-s.at
	s.mu.Unlock()
	if err != nil {
		return errs.Pass(err, "slot %d", before.Number+1)
	}
	if img.Index < before.Index {
		return errs.Field(errs.Invalid, "index", "image at %d, the newest slot is at %d", img.Index, before.Index)
	}
	img.Number = before.Number + 1
	head, tail := slotParts(img)
	file, err := s.place(slotNames[at], head, img.Body, tail)
	if IsFull(err) {
		if loose := s.dropLoose(slotNames[at]); loose == nil {
			return errs.Pass(err, "slot %d", img.Number) // nothing has changed
		}
	}
	if err == nil {
		_ = file.Close() // synced before
		err = s.rotate(img, at, before.Index, keepFrom)
	}
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return errs.Pass(s.fail(err), "slot %d", img.Number)
	}
	s.count(func(c *Stats) { c.Slots++ })
	return nil
}

// rotate starts a segment after the slot img is durable, and removes those that are not needed.
func (s *Store) rotate(img Image, at int, before, keepFrom uint64) error {
	s.mu.Lock()
	err := s.usable()
	if err == nil {
		s.newest, s.at = Image{Number: img.Number, Index: img.Index, Term: img.Term}, at
		head := s.head()
		s.tale.rebase(head[0])
		g := segment{number: s.segments[len(s.segments)-1].number + 1}
		if err = s.start(g, head); err == nil {
			s.segments = append(s.segments, g)
		}
	}
	n := 0
	for n < len(s.segments)-1 && s.segments[n].top <= before && (keepFrom == 0 || s.segments[n].top < keepFrom) {
		n++
	}
	old := s.segments[:n]
	s.segments = slices.Clone(s.segments[n:])
	if n > 0 {
		s.tale.list = slices.DeleteFunc(s.tale.list, func(r Record) bool { return r.Index <= before && r.Index <= img.Index })
		if len(s.tale.list) == 0 {
			s.tale.floor = max(s.tale.floor, img.Index)
		}
	}
	s.mu.Unlock()
	for i := 0; i < n && err == nil; i++ { // oldest first, each synced, so that no gap can stay
		err = s.removeSegment(old[i].number)
	}
	return errs.Pass(err, "change of segment")
}

// NewestSlot reads the newest slot back and checks it. Failures: Unknown (none was written), Damaged, Disk.
func (s *Store) NewestSlot() (Image, error) {
	s.mu.Lock()
	name, number := slotNames[s.at], s.newest.Number
	s.mu.Unlock()
	if number == 0 {
		return Image{}, errs.New(errs.Unknown, "no slot was written yet")
	}
	all, err := s.read(name)
	if err != nil {
		return Image{}, errs.Pass(err, "newest slot")
	}
	img, err := readSlot(all)
	if err != nil {
		return Image{}, errs.Pass(err, "read %s", name)
	}
	if img.Number < number {
		return Image{}, errs.New(errs.Damaged, "%s holds number %d, not %d", name, img.Number, number)
	}
	return img, nil
}

// Stats gives the counters since Open.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	segments := uint64(len(s.segments))
	s.mu.Unlock()
	s.countMu.Lock()
	defer s.countMu.Unlock()
	out := s.stats
	out.Segments = segments
	return out
}

// Close ends the use of the store, after a WriteSlot that is under way. All that was appended lasts already.
func (s *Store) Close() error {
	s.slots.Lock()
	defer s.slots.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	return errs.Wrap(s.file.Close(), errs.Disk, "close the log")
}
