package storage

import (
	"fmt"
	"math/rand"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

// crashRun is a store that is used at random until its disk loses power, again and again.
type crashRun struct {
	random    *rand.Rand
	disk      *MemDisk
	model     model    // what was appended with success
	tried     []Record // by the last Append, if it failed: any first few of them may be durable
	commit    uint64   // no entry up to it is replaced
	term      uint64
	snapshots int // written
}

// useUntilPowerLoss opens the store, and appends and writes snapshots until the power of the disk fails.
func (c *crashRun) useUntilPowerLoss() {
	c.disk.PowerOff(1 + c.random.Intn(60))
	c.tried = nil
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
	c.tried = []Record{hard(c.term)}
	for range c.random.Intn(4) {
		c.tried, next = append(c.tried, entry(c.term, next)), next+1
	}
	if err := s.Append(c.tried); err != nil {
		return errs.Pass(err, "append")
	}
	c.model, c.tried = c.model.with(c.tried...), nil
	c.commit += uint64(c.random.Intn(len(c.model.entries) + 1 - int(c.commit)))
	return nil
}

// crash loses what was not synced, in one of three cases once more while the store is opened.
func (c *crashRun) crash() {
	c.disk.Crash(c.random)
	if c.random.Intn(3) == 0 {
		c.disk.PowerOff(1 + c.random.Intn(8))
		_, _, _ = Open(c.disk, virtual)
		c.disk.Crash(c.random)
	}
}

// recovers reports whether the store opens to what was appended with success, and the first few records of tried.
func (c *crashRun) recovers() bool {
	_, recovered, err := Open(c.disk, virtual)
	if err != nil {
		return false
	}
	for n := range len(c.tried) + 1 {
		if got := c.model.with(c.tried[:n]...); got.fits(recovered) {
			c.model = got
			return true
		}
	}
	return false
}

func TestOpen_afterCrash(t *testing.T) {
	Convey("What was appended is there after a loss of power at any moment", t, func() {
		wrong, crashes, snapshots := 0, 0, 0
		for seed := range int64(600) {
			c := &crashRun{random: rand.New(rand.NewSource(seed)), disk: NewMemDisk(), term: 1}
			for round := 0; round < 6 && wrong == 0; round++ {
				c.useUntilPowerLoss()
				c.crash()
				crashes++
				if !c.recovers() {
					wrong++
					t.Logf("seed %d round %d", seed, round)
				}
			}
			snapshots += c.snapshots
		}
		So(wrong, ShouldEqual, 0)
		So(crashes, ShouldEqual, 3600)
		So(snapshots, ShouldBeGreaterThan, 1000)
	})
}

// checkFailedSync lets the n-th sync from now fail, of an append or a snapshot: the store rejects all writes after it,
// and what the next Open returns is durable.
func checkFailedSync(t *testing.T, n int, isSnapshot bool) {
	t.Helper()
	d, m := filled()
	s := must(Open(d, virtual))
	d.FailSync(n)
	var err error
	for i := 0; i < n && err == nil; i++ {
		if isSnapshot {
			err = s.WriteSnapshot(m.snapshot(11), 0)
		} else {
			err = s.Append([]Record{entry(12, 12)})
		}
	}
	So(err, shouldBe, errs.Disk)
	So(s.Append([]Record{hard(13)}), shouldBe, errs.Disk)
	So(s.WriteSnapshot(m.snapshot(11), 0), shouldBe, errs.Disk)
	_, before, err := Open(d, virtual) // the process starts again on the same machine
	So(err, ShouldBeNil)
	d.Crash(rand.New(rand.NewSource(int64(n))))
	_, after, err := Open(d, virtual)
	So(err, ShouldBeNil)
	So(after, ShouldResemble, before)
}

func TestOpen_afterFailedSync(t *testing.T) {
	for n := 1; n <= 5; n++ {
		Convey(fmt.Sprintf("A failed sync is fatal, and what is read after it is durable: sync %d", n), t, func() {
			checkFailedSync(t, n, false)
			checkFailedSync(t, n, true)
		})
	}
}
