package store

import (
	"math/rand"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
	"crosstide/internal/internalapi"
	"crosstide/internal/storage"
)

func TestDiscard_survivesPowerLoss(t *testing.T) {
	Convey("A discarded folder never bootstraps and never keeps its ID, at whichever write the power fails", t, func() {
		newFolder := func() *storage.MemDisk {
			d := storage.NewMemDisk()
			So(writeFile(d, idFile, "c1~old"), ShouldBeNil)
			s, _, err := storage.Open(d, storage.Options{})
			So(err, ShouldBeNil)
			So(s.Append([]storage.Record{{Kind: storage.KindHardState, Data: []byte(`{"t":7,"v":"c2"}`)}}), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			return d
		}
		settings := config.DefaultControlPlane()
		settings.Name, settings.Addr, settings.OpenMembership = "c1", "c1", true
		settings.Members = []config.Member{{ID: "c1", Addr: "c1"}, {ID: "c2", Addr: "c2"}}
		open := func(d storage.Disk) (*Store, error) {
			return Open(Options{Settings: settings, Disk: d, Net: testNet{}, Fatal: func(error) {}})
		}
		for failAt := 1; ; failAt++ { // the write to the disk at which the power fails
			d := newFolder()
			So(Discard(d, "c7", "c8"), ShouldBeNil)
			d.PowerOff(failAt)
			_, err := open(d)
			d.Crash(rand.New(rand.NewSource(int64(failAt))))
			s, reopenErr := open(d)
			So(reopenErr, ShouldBeNil)
			So(s.id, ShouldStartWith, "c1~")
			So(s.id, ShouldNotEqual, "c1~old")
			So(s.status.Term, ShouldEqual, 0)
			So(s.addresses(), ShouldResemble, []string{"c2", "c7", "c8"})
			So(s.BootstrapStatus(internalapi.DiscoverCall{}).Fresh, ShouldBeFalse)
			if err == nil {
				So(failAt, ShouldBeGreaterThan, 8)
				break
			}
		}
		for failAt := 1; failAt < 20; failAt++ { // the power fails while Discard writes the mark
			d := newFolder()
			d.PowerOff(failAt)
			if Discard(d) == nil {
				break
			}
			d.Crash(rand.New(rand.NewSource(int64(failAt))))
			So(Discard(d), ShouldBeNil)
			s, err := open(d)
			So(err, ShouldBeNil)
			So(s.id, ShouldNotEqual, "c1~old")
		}
	})
}
