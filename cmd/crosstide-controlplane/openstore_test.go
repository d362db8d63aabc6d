package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/storage"
	"crosstide/internal/store"
)

// damaged makes a folder whose snapshots are there and whose log is gone.
func damaged(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	disk, err := storage.OSDisk(dir)
	So(err, ShouldBeNil)
	s, _, err := storage.Open(disk, storage.Options{})
	So(err, ShouldBeNil)
	So(s.WriteSnapshot(storage.Snapshot{Index: 1, Term: 1, Meta: []byte("{}"), Body: []byte("{}")}, 0), ShouldBeNil)
	So(s.Close(), ShouldBeNil)
	logs, err := filepath.Glob(filepath.Join(dir, "log-*"))
	So(err, ShouldBeNil)
	for _, one := range logs {
		So(os.Remove(one), ShouldBeNil)
	}
	So(os.WriteFile(filepath.Join(dir, "other"), nil, 0o600), ShouldBeNil)
	return dir
}

func TestDamagedFolder(t *testing.T) {
	for _, open := range []bool{false, true} {
		Convey("A node with a damaged folder joins anew and never bootstraps", t, func() {
			dir := damaged(t)
			settings := config.DefaultControlPlane()
			settings.Name, settings.Addr, settings.Data, settings.OpenMembership = "10.0.0.1", "10.0.0.1:7000", dir, open
			settings.Members = []config.Member{{ID: "10.0.0.1", Addr: "10.0.0.1:7000", Zone: "a"}}
			s, err := openTestStore(store.Options{Settings: settings, Fatal: func(error) {}, Registry: prometheus.NewRegistry()})
			So(err, ShouldBeNil)
			a := s.BootstrapStatus(internalapi.DiscoverCall{})
			So(a.Fresh, ShouldBeFalse)
			So(a.ID, ShouldStartWith, "10.0.0.1~")
			s.Stop()
			beside, err := os.ReadDir(filepath.Dir(dir))
			So(err, ShouldBeNil)
			_, gone := os.Stat(filepath.Join(dir, "other"))
			if open { // only the store's own files are touched, and nothing outside of the folder
				So(beside, ShouldHaveLength, 1)
				So(gone, ShouldBeNil)
			} else {
				So(beside, ShouldHaveLength, 2)
				So(gone, ShouldNotBeNil)
			}
			s, err = openTestStore(store.Options{Settings: settings, Fatal: func(error) {}})
			So(err, ShouldBeNil)
			So(s.BootstrapStatus(internalapi.DiscoverCall{}).ID, ShouldEqual, a.ID)
			s.Stop()
		})
	}
	Convey("A folder that cannot be made is not a damaged one", t, func() {
		settings := config.DefaultControlPlane()
		settings.Data = filepath.Join(damaged(t), "other", "data")
		_, err := openTestStore(store.Options{Settings: settings})
		So(errs.KindOf(err), ShouldEqual, errs.Disk)
	})
}

func openTestStore(opt store.Options) (*store.Store, error) {
	return openStore(context.Background(), opt, log.NewNopLogger())
}
