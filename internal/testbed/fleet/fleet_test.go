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
	Convey("A planned fleet is spread over zones and racks, can be read back, and is not overwritten", t, func() {
		dir := filepath.Join(t.TempDir(), "f")
		s := Shape{ControlPlanes: 5, DataPlanes: 3, Workers: 30, Zones: 3, Cores: 16, Kind: "mixed", Bin: "bin"}
		n, err := Plan(dir, s)
		So(err, ShouldBeNil)
		decoded, err := Read(dir)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, n)
		So(n.ProcessesInZone("z3")[:4], ShouldResemble, []string{"c3", "d3", "m3", "m6"})
		So(n.Workers[23].Rack+n.Workers[24].Rack, ShouldEqual, "r1r2")
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
	Convey("Workers that share a process share its port, command line, zone and journal", t, func() {
		dir := filepath.Join(t.TempDir(), "f")
		n, err := Plan(dir, Shape{ControlPlanes: 1, DataPlanes: 1, Workers: 1, Zones: 2, Cores: 4, Kind: "check",
			Bin: "bin", SharedWorkers: 7, SharedProcesses: 3})
		So(err, ShouldBeNil)
		So(len(n.Workers), ShouldEqual, 8)
		So([]string{n.Workers[1].Name, n.Workers[3].Name, n.Workers[4].Name, n.Workers[7].Name}, ShouldResemble,
			[]string{"h1-0", "h1-2", "h2-0", "h3-1"})
		So(n.Workers[1].Addr, ShouldEqual, n.Workers[3].Addr)
		So(n.ProcessesInZone("z1"), ShouldResemble, []string{"c1", "d1", "m1", "h1", "h3"})
		lines, err := os.ReadFile(filepath.Join(dir, "start"))
		So(err, ShouldBeNil)
		So(strings.Count(string(lines), "\n"), ShouldEqual, 6)
		So(string(lines), ShouldContainSubstring, "/journal/h1.jsonl --count 3\n")
		_, err = Plan(filepath.Join(t.TempDir(), "g"), Shape{ControlPlanes: 1, DataPlanes: 1, Zones: 1, Cores: 1,
			Kind: "check", SharedWorkers: 3, SharedProcesses: 2})
		So(errs.KindOf(err), ShouldEqual, errs.Invalid)
	})
	Convey("With a proxy, a node reaches every address that it dials through a link of its own", t, func() {
		dir := t.TempDir()
		n, err := Plan(dir, Shape{ControlPlanes: 3, DataPlanes: 2, Workers: 4, Zones: 2, Cores: 1, Kind: "check",
			Bin: "bin", Proxied: true})
		So(err, ShouldBeNil)
		proxySettings, err := netproxy.Load(filepath.Join(dir, "settings", "link.json"))
		So(err, ShouldBeNil)
		So(proxySettings.Control, ShouldEqual, n.ProxyAddr)
		So(len(proxySettings.Links), ShouldEqual, 5*4+2*2*4)
		ports := map[string]bool{}
		for _, link := range proxySettings.Links {
			ports[link.Listen] = true
		}
		So(len(ports), ShouldEqual, len(proxySettings.Links))
		dataPlane, err := os.ReadFile(filepath.Join(dir, "settings", "d2.json"))
		So(err, ShouldBeNil)
		for _, to := range append(n.ControlPlanes, n.Workers...) {
			So(string(dataPlane), ShouldContainSubstring, `"`+to.Addr+`": "127.0.0.1:`)
		}
		lines, err := os.ReadFile(filepath.Join(dir, "start"))
		So(err, ShouldBeNil)
		So(strings.Count(string(lines), " --via "), ShouldEqual, 2*4)
		So(string(lines), ShouldStartWith, "link bin/crosstide-testbed link ")
	})
	Convey("A process is not killed if it has the pid of a node but another command line", t, func() {
		dir := t.TempDir()
		So(os.WriteFile(filepath.Join(dir, "pids"), []byte("c1 "+strconv.Itoa(os.Getpid())+"\n"), 0o644), ShouldBeNil)
		So(os.WriteFile(filepath.Join(dir, "start"), []byte("c1 bin/crosstide-controlplane run\n"), 0o644), ShouldBeNil)
		So(errs.KindOf(Kill(dir, "c1")), ShouldEqual, errs.Unknown)
		So(errs.KindOf(Kill(dir, "c2")), ShouldEqual, errs.Unknown)
	})
	Convey("The answer with the workers may be a list or an object that holds it", t, func() {
		list := `[{"name":"m1","boot":"b"},{"name":"m2"}]`
		for _, body := range []string{list, `{"minions":` + list + `}`} {
			So(parseWorkers([]byte(body)), ShouldResemble, map[string]bool{"m1": true, "m2": false})
		}
	})
}
