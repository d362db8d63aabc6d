package fleet

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/testbed/netproxy"
)

func TestPlan(t *testing.T) {
	Convey("A fleet is laid over zones and racks, written once, and read back", t, func() {
		dir := filepath.Join(t.TempDir(), "f")
		s := Shape{CPlanes: 5, DPlanes: 3, Minions: 30, Zones: 3, Cores: 16, Kind: "mixed", Bin: "bin"}
		n, err := Plan(dir, s)
		So(err, ShouldBeNil)
		back, err := Read(dir)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, n)
		So(n.Zone("z3")[:4], ShouldResemble, []string{"c3", "d3", "m3", "m6"})
		So(n.Minions[23].Rack+n.Minions[24].Rack, ShouldEqual, "r1r2")
		addrs := map[string]bool{}
		for _, node := range n.All() {
			addrs[node.Addr] = true
		}
		So(len(addrs), ShouldEqual, 38)
		lines, err := os.ReadFile(filepath.Join(dir, "start"))
		So(err, ShouldBeNil)
		So(strings.Count(string(lines), "\n"), ShouldEqual, 38)
		_, err = Plan(dir, s)
		So(errs.KindOf(err), ShouldEqual, errs.Conflict)
	})
	Convey("Hollow minions share processes: one port, line, zone and journal for each", t, func() {
		dir := filepath.Join(t.TempDir(), "f")
		n, err := Plan(dir, Shape{CPlanes: 1, DPlanes: 1, Minions: 1, Zones: 2, Cores: 4, Kind: "check", Bin: "bin", Hollow: 7, Hosts: 3})
		So(err, ShouldBeNil)
		So(len(n.Minions), ShouldEqual, 8)
		So([]string{n.Minions[1].Name, n.Minions[3].Name, n.Minions[4].Name, n.Minions[7].Name}, ShouldResemble, []string{"h1-0", "h1-2", "h2-0", "h3-1"})
		So(n.Minions[1].Addr, ShouldEqual, n.Minions[3].Addr)
		So(n.Zone("z1"), ShouldResemble, []string{"c1", "d1", "m1", "h1", "h3"})
		lines, err := os.ReadFile(filepath.Join(dir, "start"))
		So(err, ShouldBeNil)
		So(strings.Count(string(lines), "\n"), ShouldEqual, 6)
		So(string(lines), ShouldContainSubstring, "/journal/h1.jsonl --count 3\n")
		_, err = Plan(filepath.Join(t.TempDir(), "g"), Shape{CPlanes: 1, DPlanes: 1, Zones: 1, Cores: 1, Kind: "check", Hollow: 3, Hosts: 2})
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
	})
	Convey("With links, every address that a node dials leads over a link of its own", t, func() {
		dir := t.TempDir()
		n, err := Plan(dir, Shape{CPlanes: 3, DPlanes: 2, Minions: 4, Zones: 2, Cores: 1, Kind: "check", Bin: "bin", Links: true})
		So(err, ShouldBeNil)
		set, err := netproxy.Load(filepath.Join(dir, "settings", "link.json"))
		So(err, ShouldBeNil)
		So(set.Control, ShouldEqual, n.Link)
		So(len(set.Ways), ShouldEqual, 5*4+2*2*4)
		ports := map[string]bool{}
		for _, w := range set.Ways {
			ports[w.Listen] = true
		}
		So(len(ports), ShouldEqual, len(set.Ways))
		d, err := os.ReadFile(filepath.Join(dir, "settings", "d2.json"))
		So(err, ShouldBeNil)
		for _, to := range append(n.CPlanes, n.Minions...) {
			So(string(d), ShouldContainSubstring, `"`+to.Addr+`": "127.0.0.1:`)
		}
		lines, err := os.ReadFile(filepath.Join(dir, "start"))
		So(err, ShouldBeNil)
		So(strings.Count(string(lines), " --via "), ShouldEqual, 2*4)
		So(string(lines), ShouldStartWith, "link bin/crosstide-testbed link ")
	})
	Convey("A pid that is not the node any more is not killed", t, func() {
		dir := t.TempDir()
		So(os.WriteFile(filepath.Join(dir, "pids"), []byte("c1 "+strconv.Itoa(os.Getpid())+"\n"), 0o644), ShouldBeNil)
		So(os.WriteFile(filepath.Join(dir, "start"), []byte("c1 bin/crosstide-controlplane run\n"), 0o644), ShouldBeNil)
		So(errs.KindOf(Kill(dir, "c1")), ShouldEqual, errs.Unknown)
		So(errs.KindOf(Kill(dir, "c2")), ShouldEqual, errs.Unknown)
	})
	Convey("Minions are read from a list or a page", t, func() {
		for _, body := range []string{`[{"name":"m1","boot":"b"},{"name":"m2"}]`, `{"minions":[{"name":"m1","boot":"b"},{"name":"m2"}]}`} {
			So(boots([]byte(body)), ShouldResemble, map[string]bool{"m1": true, "m2": false})
		}
	})
}
