package storage

import (
	"fmt"
	"math/rand"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// crashRun uses a store at random until its disk loses power, repeatedly.
type crashRun struct {
	random    *rand.Rand
	disk      *MemDisk
	model     model    // content that was appended successfully
	inDoubt   []Record // records of the last Append if it failed: any prefix of them may be durable
	commit    uint64   // entries up to it are not replaced
	term      uint64
	snapshots int // number of snapshots written
}

// useUntilPowerLoss opens the store, and appends records and writes snapshots until the disk loses power.
func (c *crashRun) useUntilPowerLoss() {
	c.disk.PowerOff(1 + c.random.Intn(60))
	c.inDoubt = nil
	s, _, err := Open(c.disk, virtual)
	for err == nil {
		if at := c.commit; c.random.Intn(5) == 0 && at > 0 {
			if err = s.WriteSnapshot(c.model.snapshot(at), uint64(c.random.Intn(3))*at/2); err == nil {
				c.snapshots++
			}
			continue
		}
		err = c.append(s)
	}
}

// append appends a hard state and up to three entries, which may replace entries that are not committed.
func (c *crashRun) append(s *Store) error {
	c.term++
	next := uint64(len(c.model.entries)) + 1
	if uncommitted := next - 1 - c.commit; uncommitted > 0 && c.random.Intn(4) == 0 {
		next -= uint64(c.random.Intn(int(uncommitted) + 1))
	}
	c.inDoubt = []Record{hardState(c.term)}
	for range c.random.Intn(4) {
		c.inDoubt, next = append(c.inDoubt, entry(c.term, next)), next+1
	}
	if err := s.Append(c.inDoubt); err != nil {
		return errs.Pass(err, "append")
	}
	c.model, c.inDoubt = c.model.with(c.inDoubt...), nil
	c.commit += uint64(c.random.Intn(len(c.model.entries) + 1 - int(c.commit)))
	return nil
}

// crash discards unsynced data. In one of three cases the disk loses power again while the store is opened.
func (c *crashRun) crash() {
	c.disk.Crash(c.random)
	if c.random.Intn(3) == 0 {
		c.disk.PowerOff(1 + c.random.Intn(8))
		_, _, _ = Open(c.disk, virtual)
		c.disk.Crash(c.random)
	}
}

// recovers reports whether Open recovers the records that were appended successfully, and a prefix of inDoubt.
func (c *crashRun) recovers() bool {
	_, recovered, err := Open(c.disk, virtual)
	if err != nil {
		return false
	}
	for n := range len(c.inDoubt) + 1 {
		if got := c.model.with(c.inDoubt[:n]...); got.matches(recovered) {
			c.model = got
			return true
		}
	}
	return false
}

// TestOpen_afterCrash guards against the loss of acknowledged records: a power failure may drop or tear any write,
// creation, removal or rename that was not synced, also while Open repairs the folder.
func TestOpen_afterCrash(t *testing.T) {
	Convey("Appended records are recovered after a power failure at any time", t, func() {
		wrong, crashes, snapshots := 0, 0, 0
		for seed := range int64(600) {
			c := &crashRun{random: rand.New(rand.NewSource(seed)), disk: NewMemDisk(), term: 1}
			for round := 0; round < 6 && wrong == 0; round++ {
				c.useUntilPowerLoss()
				c.crash()
				crashes++
				if !c.recovers() {
					wrong++
					t.Logf("wrong content recovered: seed %d, round %d", seed, round)
				}
			}
			snapshots += c.snapshots
		}
		So(wrong, ShouldEqual, 0)
		So(crashes, ShouldEqual, 3600)
		So(snapshots, ShouldBeGreaterThan, 1000)
	})
}

// checkFailedSync makes the n-th sync of appends or of snapshots fail. It checks that the store rejects all later
// writes, and that the state which the next Open returns is durable.
func checkFailedSync(t *testing.T, n int, isSnapshot bool) {
	t.Helper()
	d, m := filledDisk()
	s := mustOpen(Open(d, virtual))
	d.FailSync(n)
	var err error
	for i := 0; i < n && err == nil; i++ {
		if isSnapshot {
			err = s.WriteSnapshot(m.snapshot(11), 0)
		} else {
			err = s.Append([]Record{entry(12, 12)})
		}
	}
	So(err, shouldBeKind, errs.Disk)
	So(s.Append([]Record{hardState(13)}), shouldBeKind, errs.Disk)
	So(s.WriteSnapshot(m.snapshot(11), 0), shouldBeKind, errs.Disk)
	_, before, err := Open(d, virtual) // the process restarts on the same machine
	So(err, ShouldBeNil)
	d.Crash(rand.New(rand.NewSource(int64(n))))
	_, after, err := Open(d, virtual)
	So(err, ShouldBeNil)
	So(after, ShouldResemble, before)
}

// TestOpen_afterFailedSync guards against records that are read from the page cache but are not on the disk: after a
// failed sync, a later sync of the file succeeds without writing them.
func TestOpen_afterFailedSync(t *testing.T) {
	for n := 1; n <= 5; n++ {
		Convey(fmt.Sprintf("After a failed sync the store is unusable, and the recovered state is durable: sync %d", n), t, func() {
			checkFailedSync(t, n, false)
			checkFailedSync(t, n, true)
		})
	}
}
