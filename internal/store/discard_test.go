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
	Convey("A discarded folder never bootstraps and never keeps its ID, wherever the power fails on the way", t, func() {
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
		for at := 1; ; at++ {
			d := newFolder()
			So(Discard(d, "c7", "c8"), ShouldBeNil)
			d.PowerOff(at)
			_, err := open(d)
			d.Crash(rand.New(rand.NewSource(int64(at))))
			s, reopenErr := open(d)
			So(reopenErr, ShouldBeNil)
			So(s.id, ShouldStartWith, "c1~")
			So(s.id, ShouldNotEqual, "c1~old")
			So(s.status.Term, ShouldEqual, 0)
			So(s.addresses(), ShouldResemble, []string{"c2", "c7", "c8"})
			So(s.BootstrapStatus(internalapi.DiscoverCall{}).Fresh, ShouldBeFalse)
			if err == nil {
				So(at, ShouldBeGreaterThan, 8)
				break
			}
		}
		for at := 1; at < 20; at++ { // while the mark is written
			d := newFolder()
			d.PowerOff(at)
			if Discard(d) == nil {
				break
			}
			d.Crash(rand.New(rand.NewSource(int64(at))))
			So(Discard(d), ShouldBeNil)
			s, err := open(d)
			So(err, ShouldBeNil)
			So(s.id, ShouldNotEqual, "c1~old")
		}
	})
}
