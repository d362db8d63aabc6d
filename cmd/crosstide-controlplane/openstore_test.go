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

// damagedFolder returns a data folder that has a snapshot but no log. It also has a file, other, that is not the
// store's.
func damagedFolder(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "data")
	disk, err := storage.OSDisk(dir)
	So(err, ShouldBeNil)
	opened, _, err := storage.Open(disk, storage.Options{})
	So(err, ShouldBeNil)
	snapshot := storage.Snapshot{Index: 1, Term: 1, Meta: []byte("{}"), Body: []byte("{}")}
	So(opened.WriteSnapshot(snapshot, 0), ShouldBeNil)
	So(opened.Close(), ShouldBeNil)
	logs, err := filepath.Glob(filepath.Join(dir, "log-*"))
	So(err, ShouldBeNil)
	for _, path := range logs {
		So(os.Remove(path), ShouldBeNil)
	}
	So(os.WriteFile(filepath.Join(dir, "other"), nil, 0o600), ShouldBeNil)
	return dir
}

func TestOpenStore_damagedFolder(t *testing.T) {
	for _, openMembership := range []bool{false, true} {
		Convey("A node with a damaged folder gets a new identity, keeps it, and does not bootstrap", t, func() {
			dir := damagedFolder(t)
			settings := config.DefaultControlPlane()
			settings.Name, settings.Addr, settings.Data = "10.0.0.1", "10.0.0.1:7000", dir
			settings.OpenMembership = openMembership
			settings.Members = []config.Member{{ID: "10.0.0.1", Addr: "10.0.0.1:7000", Zone: "a"}}
			options := store.Options{Settings: settings, Fatal: func(error) {}}
			firstOptions := options
			firstOptions.Registry = prometheus.NewRegistry()
			first, err := openTestStore(firstOptions)
			So(err, ShouldBeNil)
			status := first.BootstrapStatus(internalapi.DiscoverCall{})
			So(status.Fresh, ShouldBeFalse)
			So(status.ID, ShouldStartWith, "10.0.0.1~")
			first.Stop()
			folders, err := os.ReadDir(filepath.Dir(dir))
			So(err, ShouldBeNil)
			_, statErr := os.Stat(filepath.Join(dir, "other"))
			if openMembership { // only the store's files are removed, and nothing outside of the folder changes
				So(folders, ShouldHaveLength, 1)
				So(statErr, ShouldBeNil)
			} else { // the folder is renamed
				So(folders, ShouldHaveLength, 2)
				So(statErr, ShouldNotBeNil)
			}
			second, err := openTestStore(options)
			So(err, ShouldBeNil)
			So(second.BootstrapStatus(internalapi.DiscoverCall{}).ID, ShouldEqual, status.ID)
			second.Stop()
		})
	}
	Convey("A folder that cannot be created is not treated as damaged", t, func() {
		settings := config.DefaultControlPlane()
		settings.Data = filepath.Join(damagedFolder(t), "other", "data")
		_, err := openTestStore(store.Options{Settings: settings})
		So(errs.KindOf(err), ShouldEqual, errs.Disk)
	})
}

func openTestStore(options store.Options) (*store.Store, error) {
	return openStore(context.Background(), options, log.NewNopLogger())
}
