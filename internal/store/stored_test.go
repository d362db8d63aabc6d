package store

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/config"
	"crosstide/internal/raft"
	"crosstide/internal/signature"
	"crosstide/internal/state/command"
	"crosstide/internal/storage"
)

// The folders under testdata/stored were written by the code of commit df84be1, one for each deployment: `cplane run`
// and `cplane jobs run`; jobs-schema-1 by the first release with schemas. Later code must read the same contents from them. The commands in this file and the contents
// in expected.json use the field names of the stored format, not those of Go.
//
// Never rewrite a folder after a change of the stored format: the folders exist to detect such changes. Add a folder in
// a newer format under a name of its own: add it to storedFolders and run
//
//	go test ./internal/store -run TestStoredFolders -write-stored
//
// which writes the missing folders with the current code.
var writeStored = flag.Bool("write-stored", false, "write the folders of testdata/stored that are missing")

var storedFolders = []struct {
	name      string
	id        string            // raft ID of the node, if it rejoined as a new incarnation; "" if it is the node's name
	write     func(*storedNode) // commits the commands before the newest snapshot
	writeTail func(*storedNode) // commits the commands after it
	extend    func(*storedNode) // commits more commands on the recovered state and checks their results
}{
	{"cplane", "", writePolicy, writePolicyTail, extendPolicy},
	{"jobs", "c1~abcdefghij", writeJobs, writeJobsTail, extendJobs},
	{"jobs-schema-1", "c1~abcdefghij", writeJobsUnderSchema, writeJobsTail, extendJobsUnderSchema},
}

// storedContents is the content of expected.json.
type storedContents struct {
	State   map[string]any `json:"state"`
	Members any            `json:"members"`
	Hard    map[string]any `json:"hard"`  // the last hard state in the log
	Metas   []any          `json:"metas"` // of slot-a and slot-b
	Peers   []string       `json:"peers"` // addresses in peersFile, known before the folder was discarded
	ID      string         `json:"id"`
}

// storedNode is a control-plane node on a folder, the only voter of its fleet, run by a ManualDriver.
type storedNode struct {
	*ManualDriver
	clock *clock.Virtual
	store *Store
	disk  storage.Disk
}

// openStored opens a folder; bootstrapID is the ID of the only bootstrap member.
func openStored(dir, bootstrapID string) *storedNode {
	disk, err := storage.OSDisk(dir)
	So(err, ShouldBeNil)
	n := &storedNode{clock: &clock.Virtual{}, disk: disk}
	settings := config.DefaultControlPlane()
	settings.Name, settings.Addr, settings.Zone = "c1", "c1:1", "z1"
	settings.Members = []config.Member{{ID: bootstrapID, Addr: "c1:1", Zone: "z1"}}
	settings.SnapshotEvery = 1 << 30
	n.store, err = Open(Options{Settings: settings, Disk: disk, Net: testNet{}, Clock: n.clock, Seed: 1,
		Fatal: func(err error) { So(err, ShouldBeNil) }})
	So(err, ShouldBeNil)
	n.ManualDriver = n.store.Manual()
	return n
}

// step runs the pending work of the store and advances the clock.
func (n *storedNode) step() {
	for range 4 {
		n.Pass()
		n.TakeMessages()
		for b := n.TakeDiskBatch(); b != nil; b = n.TakeDiskBatch() {
			So(b.Write(), ShouldBeNil)
			b.MarkStored()
		}
	}
	So(n.RunSnapshotter(), ShouldBeNil)
	n.clock.Advance(25 * time.Millisecond)
}

// awaitLeadership waits until the node leads and has applied its log.
func (n *storedNode) awaitLeadership() {
	for range 1000 {
		if n.step(); n.isLeading() {
			n.step()
			return
		}
	}
	So("leads", ShouldEqual, "leads within 1000 steps")
}

// isLeading reports whether the node leads with a valid lease.
func (n *storedNode) isLeading() bool {
	_, confirmed := n.Core().LeaseReadIndex(n.clock.Now())
	return confirmed
}

// do commits a command, given in its stored form, and returns its answer. The clock advances by a second.
func (n *storedNode) do(op, body string) map[string]any {
	n.clock.Advance(time.Second)
	n.awaitLeadership()
	c, err := command.New(op)
	So(err, ShouldBeNil)
	So(json.Unmarshal([]byte(body), c), ShouldBeNil)
	p, err := n.Propose(c)
	So(err, ShouldBeNil)
	n.step()
	_, answer, err, ok := p.Done()
	So(fmt.Sprint(op, body, ok, err), ShouldEqual, fmt.Sprint(op, body, true, nil))
	object, _ := plainJSON(answer).(map[string]any)
	return object
}

// commitMembers commits a member set, given in its stored form.
func (n *storedNode) commitMembers(set string) {
	n.awaitLeadership()
	var next []raft.Member
	So(json.Unmarshal([]byte(set), &next), ShouldBeNil)
	So(n.store.changeMembers(n.store.Status().Raft.Members, next), ShouldBeNil)
	n.step()
}

// state returns the encoded live state as plain JSON.
func (n *storedNode) state() map[string]any {
	data, err := n.State().Encode()
	So(err, ShouldBeNil)
	return parseJSON(data).(map[string]any)
}

// snapshot writes the state as the newest snapshot.
func (n *storedNode) snapshot() {
	n.step()
	So(n.store.writeSnapshot(n.store.group.Context()), ShouldBeNil)
}

// parseJSON decodes JSON and keeps each number as a json.Number.
func parseJSON(data []byte) (value any) {
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.UseNumber()
	So(d.Decode(&value), ShouldBeNil)
	return value
}

// encoded returns v as JSON.
func encoded(v any) []byte {
	data, err := json.Marshal(v)
	So(err, ShouldBeNil)
	return data
}

// plainJSON encodes v as JSON and returns the result as parseJSON decodes it.
func plainJSON(v any) any { return parseJSON(encoded(v)) }

// reread decodes a stored JSON object into a value of its Go type and returns plainJSON of that value.
func reread(data []byte, into any) any {
	So(json.Unmarshal(data, into), ShouldBeNil)
	return plainJSON(into)
}

// contents returns the contents of a folder, except for the state and the members. With asStored it returns the stored
// JSON, else the JSON that results from decoding it into the Go types and encoding it again.
func contents(t *testing.T, dir string, asStored bool) (read storedContents) {
	t.Helper()
	disk, err := storage.OSDisk(dir)
	So(err, ShouldBeNil)
	read.Metas = []any{}
	for _, removed := range []string{"slot-b", "slot-a"} { // without one slot, the other one is read
		folder := copyFolder(t, dir, removed)
		d, err := storage.OSDisk(folder)
		So(err, ShouldBeNil)
		s, recovered, err := storage.Open(d, storage.Options{})
		So(err, ShouldBeNil)
		So(s.Close(), ShouldBeNil)
		So(recovered.Records[0].Kind, ShouldEqual, storage.KindHardState)
		if asStored {
			read.Metas = append(read.Metas, parseJSON(recovered.Snapshot.Meta))
			read.Hard = parseJSON(recovered.Records[0].Data).(map[string]any)
		} else {
			read.Metas = append(read.Metas, reread(recovered.Snapshot.Meta, &raft.Meta{}))
			read.Hard = reread(recovered.Records[0].Data, &raft.HardState{}).(map[string]any)
		}
	}
	read.ID, err = readID(disk)
	So(err, ShouldBeNil)
	peers, _, err := readFile(disk, peersFile)
	So(err, ShouldBeNil)
	read.Peers = append([]string{}, strings.Fields(peers)...)
	return read
}

// copyFolder copies a folder, without the files in except, to a new folder and returns its path.
func copyFolder(t *testing.T, from string, except ...string) string {
	t.Helper()
	to := t.TempDir()
	files, err := os.ReadDir(from)
	So(err, ShouldBeNil)
	for _, f := range files {
		if slices.Contains(except, f.Name()) {
			continue
		}
		data, err := os.ReadFile(filepath.Join(from, f.Name()))
		So(err, ShouldBeNil)
		So(os.WriteFile(filepath.Join(to, f.Name()), data, 0o600), ShouldBeNil)
	}
	return to
}

// assertSameState compares two states part by part, except for index and term, which change when a new term starts.
func assertSameState(got, want map[string]any) {
	for _, part := range slices.Sorted(maps.Keys(want)) {
		if part != "index" && part != "term" {
			So(part+" "+string(encoded(got[part])), ShouldEqual, part+" "+string(encoded(want[part])))
		}
	}
	So(slices.Sorted(maps.Keys(got)), ShouldResemble, slices.Sorted(maps.Keys(want)))
}

// number returns a number that parseJSON decoded.
func number(v any) uint64 {
	n, err := v.(json.Number).Int64()
	So(err, ShouldBeNil)
	return uint64(n)
}

// TestStoredFolders checks that the current code recovers the same contents from the stored folders, from the snapshot
// and from the log, and can continue and reopen them. A changed name or meaning in the stored format makes it fail.
func TestStoredFolders(t *testing.T) {
	for _, f := range storedFolders {
		from := filepath.Join("testdata", "stored", f.name)
		data := filepath.Join(from, "data")
		if _, err := os.Stat(from); *writeStored && os.IsNotExist(err) {
			Convey("Write "+from, t, func() { writeFolder(t, from, f.id, f.write, f.writeTail) })
		}
		for _, newest := range []bool{true, false} {
			source := map[bool]string{true: "its newest snapshot and the log after it",
				false: "its first snapshot and the whole log"}[newest]
			Convey("The folder "+f.name+" is recovered unchanged from "+source, t, func() {
				raw, err := os.ReadFile(filepath.Join(from, "expected.json"))
				So(err, ShouldBeNil)
				expected := parseJSON(raw).(map[string]any)
				want := expected["state"].(map[string]any)
				decoded := plainJSON(contents(t, data, false)).(map[string]any)
				for _, part := range []string{"hard", "metas", "peers", "id"} {
					So(decoded[part], ShouldResemble, expected[part])
				}

				except := []string{}
				if !newest {
					except = append(except, "slot-b")
				}
				dir := copyFolder(t, data, except...)
				n := openStored(dir, "c1")
				n.awaitLeadership()
				got := n.state()
				assertSameState(got, want)
				So(number(got["index"]), ShouldEqual, number(want["index"])+1) // the first entry of the new term
				So(number(got["term"]), ShouldEqual, number(want["term"])+1)
				So(plainJSON(n.store.Status().Raft.Members), ShouldResemble, expected["members"])

				f.extend(n)
				got = n.state()
				n.store.Stop()
				n = openStored(dir, "c1")
				n.awaitLeadership()
				assertSameState(n.state(), got)
				So(plainJSON(n.store.Status().Raft.Members), ShouldResemble, expected["members"])
				n.store.Stop()
			})
		}
	}
}

// writeFolder writes the folder dir/data and dir/expected.json. In the folder, slot-a is the snapshot of the bootstrap,
// slot-b the newest snapshot, and the log has all entries.
func writeFolder(t *testing.T, dir, id string, write, writeTail func(*storedNode)) {
	t.Helper()
	data := filepath.Join(dir, "data")
	So(os.MkdirAll(data, 0o750), ShouldBeNil)
	n := openStored(data, cmp.Or(id, "c1"))
	So(n.Bootstrap(), ShouldBeNil)
	if id != "" { // the node reads its ID at its next start
		So(writeFile(n.disk, idFile, id), ShouldBeNil)
		So(writeFile(n.disk, peersFile, "c2:1\nc3:1"), ShouldBeNil)
		n.store.Stop()
		n = openStored(data, id)
	}
	n.awaitLeadership()
	write(n)
	n.snapshot()
	writeTail(n)
	n.step()
	written := storedContents{State: n.state(), Members: plainJSON(n.store.Status().Raft.Members)}
	n.store.Stop()
	files := contents(t, data, true)
	written.Hard, written.Metas, written.Peers, written.ID = files.Hard, files.Metas, files.Peers, files.ID
	raw, err := json.MarshalIndent(written, "", " ")
	So(err, ShouldBeNil)
	So(os.WriteFile(filepath.Join(dir, "expected.json"), append(raw, '\n'), 0o600), ShouldBeNil)
}

const storedBundle = `{
 "queues": {
  "default": {},
  "scan": {"types": ["scan"], "teams": ["parcel"], "labels": {"disk": "ssd"}, "urgent": true,
   "placement": {"minions": ["m1", "m2"], "zones": ["z1", "z2"], "racks": ["r1", "r2"],
    "near": [{"label": "data", "value": "scans", "within": "zone"}]},
   "hold": "10s", "retries": 3}
 },
 "limits": {"scan": 40}, "weights": {"parcel": %d}, "retries": 5, "backoff": {"min": "300ms", "max": "20s"}, "hold": "20s",
 "operators": [{"name": "ada", "key": %q}, {"name": "ben", "key": %q}],
 "parties": {"acme": {"teams": ["parcel"], "queues": ["scan"], "price": {"core": 10, "gpu": 40, "memory": 1}, "reserve": "30s", "warn": "5m"}}
}`

func writePolicy(n *storedNode) {
	n.do("account-create", `{"order": "o1", "account": "acme", "credit": 50}`)
	n.do("account-create", `{"order": "o2", "account": "dry"}`)
	n.do("account-top-up", `{"account": "acme", "key": "pay-1", "amount": 1000000}`)
	n.do("account-top-up", `{"account": "acme", "key": "pay-2", "amount": 7}`)
	n.do("succeed", `{"order": "o3", "old": "c0", "new": "c9"}`)
	ada, err := signature.New("ada")
	So(err, ShouldBeNil)
	ben, err := signature.New("ben")
	So(err, ShouldBeNil)
	n.do("keys", fmt.Sprintf(`{"operators": {"ada": %q, "ben": %q}}`, ada.Public(), ben.Public()))
	digests := map[int]string{}
	put := func(base, weight int) {
		text := fmt.Sprintf(storedBundle, weight, ada.Public(), ben.Public())
		digest, order := signature.Digest([]byte(text)), fmt.Sprint("put-", base)
		digests[base+1] = digest
		c := map[string]any{"order": order, "base": base, "by": "ada", "body": []byte(text), "sig": ada.Sign(signature.BundlePut(order, uint64(base), digest))}
		n.do("put", string(encoded(c)))
	}
	sign := func(version int, key signature.Key) {
		n.do("sign", fmt.Sprintf(`{"order": "sign-%d-%s", "version": %d, "sha256": %q, "by": %q, "sig": %q}`, version, key.Name, version,
			digests[version], key.Name, key.Sign(signature.Bundle(uint64(version), digests[version]))))
	}
	put(1, 2)
	sign(2, ada)
	sign(2, ben)
	put(2, 3)
	sign(3, ben)
	sign(3, ada)
	patch := []byte(`{"weights": {"parcel": 4}}`)
	n.do("patch", string(encoded(map[string]any{"order": "patch-3", "base": 3, "by": "ben", "patch": patch,
		"sig": ben.Sign(signature.BundlePatch("patch-3", 3, signature.Digest(patch)))})))
	put(4, 5) // replaces draft 4
	sign(5, ben)
	for _, zone := range []string{"z8", "z9"} {
		n.do("zone", fmt.Sprintf(`{"order": "out-%s", "zone": %q, "out": true, "by": "ada", "sig": %q}`, zone, zone, ada.Sign(signature.Evacuate("out-"+zone, zone))))
	}
	since, err := time.Parse(time.RFC3339Nano, n.state()["evacuated"].(map[string]any)["z9"].(string))
	So(err, ShouldBeNil)
	n.do("zone", fmt.Sprintf(`{"order": "lift-z9", "zone": "z9", "by": "ada", "sig": %q}`, ada.Sign(signature.Lift("z9", since))))

	n.do("account-create", fmt.Sprintf(`{"order": "o5", "account": "late", "by": "ada", "sig": %q}`, ada.Sign(signature.AccountCreate("o5", "late", 0))))
	n.do("account-top-up", fmt.Sprintf(`{"account": "late", "key": "pay-3", "amount": 9, "by": "ben", "sig": %q}`, ben.Sign(signature.AccountTopUp("pay-3", "late", 9))))
	parties := `{"parties":[{"name":"late","queues":["elsewhere"],"price":{"core":1},"window":1000000000}]}`
	n.do("job-parties", fmt.Sprintf(`{"order": "o6", "by": "ben", "sig": %q, %s`, ben.Sign(signature.JobParties("o6", signature.Digest([]byte(parties)))), parties[1:]))

	submit := func(key, queue, team, steps string) {
		n.do("submit", fmt.Sprintf(`{"spec": {"key": %q, "team": %q, "queue": %q, "steps": [%s]}, "digest": %q, "bound": 1000}`, key, team, queue, steps, "digest of "+key))
	}
	plain := `{"name": "one", "type": "t", "tasks": 1, "cores": 1, "retries": 0}`
	tidy := func(jobs, tombs, orders string) {
		n.do("tidy", fmt.Sprintf(`{"jobs_before": %q, "jobs_keep": 5, "tombs_before": %q, "tombs_keep": 9, "orders_before": %q}`, jobs, tombs, orders))
	}
	const never, later = "1970-01-01T00:00:00Z", "1971-01-01T00:00:00Z"
	submit("f-old", "default", "other", plain)
	n.do("cancel", `{"key": "f-old"}`)
	tidy(later, never, "1970-01-01T00:00:04Z") // deletes the job and the orders o1 and o2
	tidy(never, later, never)                  // deletes the job's tombstone
	submit("f-tomb", "default", "other", plain)
	n.do("cancel", `{"key": "f-tomb"}`)
	tidy(later, never, never)

	n.commitMembers(`[{"id": "c1", "addr": "c1:1", "zone": "z1"}, {"id": "c2~abc", "addr": "c2:1", "zone": "z2", "incarnation": "abc", "learner": true}]`)
	minions := []string{
		`{"name": "m1", "addr": "m1:1", "boot": "b1", "kind": "obey", "zone": "z1", "rack": "r1", "labels": {"disk": "ssd", "data": "scans"}, "cores": 16, "gpus": 4}`,
		`{"name": "m2", "addr": "m2:1", "boot": "b2", "kind": "check", "zone": "z1", "rack": "r2", "labels": {"disk": "ssd"}, "cores": 16, "gpus": 4}`,
		`{"name": "m3", "addr": "m3:1", "boot": "b3", "kind": "check", "zone": "z2", "cores": 2, "draining": true}`,
	}
	for _, m := range minions {
		n.do("announce", `{"minion": `+m+`}`)
	}
	n.do("close", `{"order": "o9", "minion": "m3", "closed": true}`)
	n.do("announce", `{"minion": {"name": "m4", "addr": "m4:1", "kind": "obey", "zone": "z4", "cores": 1}}`)
	n.do("close", `{"order": "o10", "minion": "m4", "retire": true}`)
	epoch := number(n.do("grant", `{"duty": "sched", "holder": "d1", "addr": "d1:1", "boot": "bd1", "after": 0}`)["epoch"])
	other := number(n.do("grant", `{"duty": "other", "holder": "d2", "addr": "d2:1", "boot": "bd2", "after": 0}`)["epoch"])
	n.do("giveup", fmt.Sprintf(`{"duty": "other", "epoch": %d}`, other))
	other = number(n.state()["duties"].(map[string]any)["other"].(map[string]any)["epoch"])
	n.do("grant", fmt.Sprintf(`{"duty": "other", "holder": "d3", "addr": "d3:1", "boot": "bd3", "after": %d}`, other))
	other = number(n.do("grant", `{"duty": "gone", "holder": "d2", "addr": "d2:1", "boot": "bd2", "after": 0}`)["epoch"])
	n.do("giveup", fmt.Sprintf(`{"duty": "gone", "epoch": %d}`, other))

	submit("a-done", "default", "parcel", plain)
	submit("b-run", "scan", "parcel", `{"name": "scan", "type": "scan", "tasks": 5, "cores": 1, "gpus": 1, "labels": {"disk": "ssd"}, "retries": 3, "run": {"ms": 5}},
		{"name": "match", "type": "scan", "after": ["scan"], "tasks": 1, "cores": 2, "retries": 1}`)
	submit("c-fault", "default", "other", plain)
	submit("d-stop", "default", "other", plain+`, {"name": "two", "type": "t", "after": ["one"], "tasks": 2, "cores": 1, "retries": 0}`)
	submit("g-gang", "default", "parcel", `{"name": "pair", "type": "g", "tasks": 2, "cores": 2, "retries": 2, "gang": true}`)
	submit("s-standing", "default", "parcel", `{"name": "serve", "type": "s", "tasks": 1, "cores": 1, "retries": 0, "standing": true}`)
	submit("t-two", "default", "other", plain+`, {"name": "two", "type": "t", "after": ["one"], "tasks": 1, "cores": 1, "retries": 0}`)
	submit("r-refused", "default", "other", `{"name": "pair", "type": "g", "tasks": 2, "cores": 1, "retries": 0, "gang": true}`)
	submit("x-gone", "default", "other", plain)
	n.do("cancel", `{"key": "x-gone"}`)
	tidy(never, never, never) // deletes nothing
	n.do("cancels", `{"team": "nobody", "queue": "default"}`)
	n.do("cancels", `{"team": "other", "queue": "nowhere"}`)
	plan := func(body string) map[string]any {
		return n.do("plan", fmt.Sprintf(`{"e": %d, "v": 3, %s}`, epoch, body))
	}
	start := func(job string, task int, minion, more string) string {
		return fmt.Sprintf(`{"r": {"j": %q, "s": 0, "k": %d}, "m": "m%s", "b": "b%s"%s}`, job, task, minion, minion, more)
	}
	plan(`"q": 10, "m": [` + strings.Join(minions, ",") + `]`)
	answer := plan(`"h": 20000000000, "s": [` + strings.Join([]string{
		start("a-done", 0, "1", ""), start("b-run", 0, "1", ""), start("b-run", 1, "1", ""), start("b-run", 2, "2", ""), start("b-run", 3, "2", ""),
		start("c-fault", 0, "2", ""), start("d-stop", 0, "1", ""), start("g-gang", 0, "1", `, "g": 1`), start("g-gang", 1, "2", `, "g": 1`),
		start("s-standing", 0, "2", ""), start("t-two", 0, "1", ""),
		start("r-refused", 0, "1", `, "g": 2`), start("r-refused", 1, "3", `, "g": 2`), // m3 is draining: both are refused
	}, ",") + `]`)
	So(fmt.Sprint(answer["tickets"]), ShouldEqual, "[1 2 3 4 5 6 7 8 9 10 11 0 0]")
	plan(`"r": [2, 4, 8, 9, 10], "u": [3], "x": [{"t": 1, "ok": true}, {"t": 5, "ok": false, "w": "exit 2"}, {"t": 6, "ok": false, "w": "exit 1"}, {"t": 11, "ok": true}],
		"k": [{"t": 9, "w": "lapse", "r": "not heard"}, {"t": 4, "w": "lapse", "r": "not heard"}],
		"s": [{"r": {"j": "t-two", "s": 1, "k": 0}, "m": "m1", "b": "b1"}]`)
	plan(`"x": [{"t": 9, "f": {"j": "g-gang", "s": 0, "k": 1}, "ok": true}]`) // succeeded although its lease had lapsed
	n.clock.Advance(40 * time.Second)                                         // the windows of paid runs are renewed
}

func writePolicyTail(n *storedNode) {
	n.do("cancels", `{"keys": ["d-stop"]}`)
	n.do("submit", `{"spec": {"key": "e-new", "team": "other", "queue": "default", "steps": [{"name": "one", "type": "t", "tasks": 1, "cores": 1, "retries": 0}]}, "digest": "e", "bound": 1000}`)
}

func extendPolicy(n *storedNode) {
	before := n.state()
	epoch := number(before["duties"].(map[string]any)["sched"].(map[string]any)["epoch"])
	answer := n.do("plan", fmt.Sprintf(`{"e": %d, "v": 3, "x": [{"t": 2, "f": {"j": "b-run", "s": 0, "k": 0}, "ok": true}],
		"s": [{"r": {"j": "b-run", "s": 0, "k": 4}, "m": "m1", "b": "b1"}]}`, epoch))
	So(fmt.Sprint(answer["tickets"]), ShouldEqual, "[13]") // a ticket is never reused
	after := n.state()
	handles := after["handles"].(map[string]any)
	So(handles["2"], ShouldBeNil)
	So(handles["13"], ShouldNotBeNil)
	amount := func(s map[string]any, field string) uint64 {
		return number(s["accounts"].(map[string]any)["accounts"].(map[string]any)["acme"].(map[string]any)[field])
	}
	So(amount(after, "spent"), ShouldBeGreaterThan, amount(before, "spent"))
	So(amount(after, "balance")+amount(after, "reserved")+amount(after, "spent"), ShouldEqual, amount(after, "topped_up"))
	So(n.do("submit", `{"spec": {"key": "f-tomb", "team": "other", "queue": "default", "steps": []}, "digest": "digest of f-tomb", "bound": 1000}`)["state"],
		ShouldEqual, "cancelled")
	So(n.do("succeed", `{"order": "o3", "old": "c0", "new": "c9"}`)["old"], ShouldEqual, "c0") // answered as before
}

const (
	storedQueues = `[{"name": "batch", "host": "h1", "prefix": "/batch", "service": "big", "priority": 2, "attempts": 2, "stretch": 1.5,
		"target": 60000000000, "timeout": 30000000000, "doc": {"id": "batch"}},
		{"name": "fast", "host": "h1", "prefix": "/fast", "service": "small", "attempts": 1, "stretch": 2, "target": 1000000000, "timeout": 5000000000, "doc": {"id": "fast"}}]`
	storedServices = `[{"name": "big", "guards": true, "doc": {"id": "big"}}, {"name": "small", "doc": {"id": "small"}}]`
)

func writeJobs(n *storedNode) {
	n.do("account-create", `{"order": "o1", "account": "acme"}`)
	n.do("account-top-up", `{"account": "acme", "key": "pay-1", "amount": 5000000}`)
	n.do("job-configure", `{"base": 0, "version": 1, "digest": "first", "replace": true, "queues": `+storedQueues+`, "services": `+storedServices+`, "limits": {"jobs": 10}}`)
	n.do("job-configure", `{"base": 1, "version": 3, "digest": "second", "services": [{"name": "extra", "doc": {"id": "extra"}}],
		"queues": [{"name": "slow", "host": "h2", "prefix": "/", "service": "small", "attempts": 1, "stretch": 1, "target": 1, "timeout": 1, "doc": {}}]}`)
	n.do("job-configure", `{"base": 3, "version": 4, "digest": "third", "rq": ["slow"], "rs": ["extra"]}`)
	n.do("job-parties", `{"order": "o2", "parties": [{"name": "acme", "queues": ["batch"], "price": {"core": 10, "gpu": 40, "memory": 1}, "window": 30000000000}]}`)
	n.do("job-register", `{"workers": [
		{"id": "w1", "addr": "w1:1", "service": "big", "zone": "z1", "rack": "r1", "labels": ["ssd"], "cap": {"c": 16000, "m": 64000, "g": 4}},
		{"id": "w2", "addr": "w2:1", "service": "big", "zone": "z1", "rack": "r2", "cap": {"c": 16000, "m": 64000}},
		{"id": "w3", "addr": "w3:1", "service": "small", "zone": "z2", "cap": {"c": 4000, "m": 8000}},
		{"id": "w4", "addr": "w4:1", "service": "small", "zone": "z3", "cap": {"c": 4000}, "draining": true, "left": true}]}`)
	n.do("job-evacuate", `{"zone": "z9", "start": true}`)
	n.commitMembers(`[{"id": "c1~abcdefghij", "addr": "c1:1", "zone": "z1"}, {"id": "c2~abc", "addr": "c2:1", "zone": "z2", "incarnation": "abc", "learner": true}]`)
	submit := func(id, queue, more, steps string) {
		n.do("job-submit", fmt.Sprintf(`{"spec": {"id": %q, "q": %q, "p": "payload of %s"%s, "s": [%s]}, "digest": "digest of %s", "at": "1970-01-01T00:01:00Z"}`, id, queue, id, more, steps, id))
	}
	one := `{"n": 1, "r": {"c": 1000}}`
	submit("a-done", "fast", "", one)
	submit("b-run", "batch", "", `{"n": 3, "r": {"c": 1000, "m": 2000, "g": 1}, "e": 5000000000, "l": "ssd", "d": "r1", "x": 2, "k": true, "sp": true}, {"n": 1, "r": {"c": 1000}, "a": [0]}`)
	submit("c-failed", "fast", "", one)
	submit("d-cancelled", "fast", "", one)
	submit("g-gang", "batch", "", `{"n": 2, "r": {"c": 1000}, "gg": true, "sr": true}`)
	submit("l-lasting", "batch", "", `{"n": 1, "r": {"c": 500}, "ls": true}`)
	submit("q-queued", "batch", `, "k": 3, "f": "2031-01-01T00:00:00Z", "i": 60000000000`, one)
	submit("r-rounds", "fast", `, "k": 2, "f": "1970-01-01T00:01:00Z", "i": 1000000000`, one+`, {"n": 1, "r": {"c": 500}, "a": [0]}`)
	submit("o-old", "fast", "", one)
	n.do("job-cancel", `{"id": "o-old", "at": "1970-01-01T00:01:30Z"}`)
	n.do("job-tidy", `{"before": "1970-01-01T00:01:40Z"}`)
	progress := n.progress
	recorded := progress(`"starts": [
		{"t": {"j": "a-done"}, "n": 1, "w": "w3"}, {"t": {"j": "b-run"}, "n": 1, "w": "w1"}, {"t": {"j": "b-run", "i": 1}, "n": 1, "w": "w1"},
		{"t": {"j": "c-failed"}, "n": 1, "w": "w3"}, {"t": {"j": "d-cancelled"}, "n": 1, "w": "w3"},
		{"t": {"j": "g-gang"}, "n": 1, "w": "w1"}, {"t": {"j": "g-gang", "i": 1}, "n": 1, "w": "w2"}, {"t": {"j": "l-lasting"}, "n": 7, "w": "w2"},
		{"t": {"j": "r-rounds", "k": 1}, "n": 1, "w": "w3"}]`)["recorded"]
	So(fmt.Sprint(recorded), ShouldEqual, "[true true true true true true true true true]")
	progress(`"ends": [{"r": {"t": {"j": "a-done"}, "n": 1}, "w": "w3", "h": "done"}, {"r": {"t": {"j": "c-failed"}, "n": 1}, "w": "w3", "h": "failed"},
		{"r": {"t": {"j": "r-rounds", "k": 1}, "n": 1}, "w": "w3", "h": "done"},
		{"r": {"t": {"j": "b-run", "i": 1}, "n": 1}, "w": "w1", "h": "failed", "k": "at 40%"},
		{"r": {"t": {"j": "g-gang"}, "n": 1}, "w": "w1", "h": "failed"}, {"r": {"t": {"j": "g-gang", "i": 1}, "n": 1}, "w": "w2", "h": "broken"}],
		"starts": [{"t": {"j": "g-gang"}, "n": 2, "w": "w1"}, {"t": {"j": "g-gang", "i": 1}, "n": 2, "w": "w2"},
			{"t": {"j": "r-rounds", "k": 1, "s": 1}, "n": 1, "w": "w3"}], "forget": ["w4"]`)
	for range 140 { // more windows of paid runs than the ledger keeps
		n.clock.Advance(30 * time.Second)
		n.do("job-evacuate", `{"zone": "z9", "start": true}`)
	}
}

// progress commits decisions of the scheduler, in the current term.
func (n *storedNode) progress(body string) map[string]any {
	n.awaitLeadership()
	return n.do("job-progress", fmt.Sprintf(`{"term": %d, "at": "1970-01-01T00:02:00Z", %s}`, number(n.state()["term"]), body))
}

func writeJobsTail(n *storedNode) {
	n.do("job-cancel", `{"id": "d-cancelled", "at": "1970-01-01T00:03:00Z"}`) // while one of its runs has a handle
	n.do("job-register", `{"workers": [{"id": "w5", "addr": "w5:1", "service": "small", "zone": "z3", "rack": "r9", "cap": {"c": 4000}, "draining": true, "left": true}]}`)
}

func extendJobs(n *storedNode) {
	answer := n.progress(`"ends": [{"r": {"t": {"j": "b-run"}, "n": 1}, "w": "w1", "h": "done"}],
		"starts": [{"t": {"j": "b-run", "i": 1}, "n": 1, "w": "w1"}, {"t": {"j": "b-run", "i": 1}, "n": 2, "w": "w1"}]`)
	So(fmt.Sprint(answer["recorded"]), ShouldEqual, "[false true]")       // run number 1 was used before
	n.do("job-configure", `{"base": 0, "version": 2, "digest": "first"}`) // a repetition gets the same answer
	n.do("job-submit", `{"spec": {"id": "z-later", "q": "fast", "s": [{"n": 1, "r": {"c": 1}}]}, "digest": "z", "at": "1970-01-01T00:05:00Z"}`)
	table := n.state()["table"].(map[string]any)
	So(table["jobs"].(map[string]any)["z-later"].(map[string]any)["state"], ShouldEqual, "queued")
	So(table["config"].(map[string]any)["version"], ShouldEqual, json.Number("4"))
}
