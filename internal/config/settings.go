package config

import (
	"crypto/ed25519"
	"net/netip"
	"os"
	"time"

	"crosstide/internal/errs"
)

// Common are the settings that both daemons have.
type Common struct {
	Name     string        // name: of this node, needed
	Zone     string        // zone, needed
	Region   string        // region, needed
	Addr     string        // addr: IP:port to listen at, needed
	Seeds    []string      // seeds: 1 to 3 addresses of nodes to ask for the others; a dplane with a core may go without
	LogLevel string        // log_level: debug, info, warn or error; default info
	Grace    time.Duration // grace: for running calls at the end; default 5s

	Via map[string]string // via: an address in it is dialed at the other one; for rehearsals with faulty links
}

// Member is one of the first cplanes of the store.
type Member struct{ ID, Addr, Zone string }

// OperatorKey is an operator's public key, 32 bytes of ed25519 in base64.
type OperatorKey struct{ Name, Key string }

// ControlPlane is the settings of a cplane.
type ControlPlane struct {
	Common
	Data              string        // data: the folder of the store, needed
	Members           []Member      // members: the first members of the store, needed
	Election          time.Duration // election: silence after which a node campaigns to lead; default 1s
	Heartbeat         time.Duration // heartbeat: of the leader; default 100ms, under half of lease
	Lease             time.Duration // lease: of the leader; default 700ms, under election
	RoleLease         time.Duration // duty_lease; default 3s
	SnapshotEvery     int           // snapshot_every: log entries between two snapshots; default 20000
	QueueLimit        int           // queue_limit: jobs that may be open at most; default 60000
	KeepEnded         int           // keep_ended: ended jobs kept at most; default 20000
	KeepEndedFor      time.Duration // keep_ended_for; default 1h
	KeepTombstones    int           // keep_tombs: tombstones kept at most; default 200000
	KeepTombstonesFor time.Duration // keep_tombs_for; default 168h
	OperatorKeys      []OperatorKey // operator_keys: who may sign from the founding on; none, or two at least

	// OpenMembership, open_membership: members are only seeds, which may differ between nodes and starts; any node
	// may join, and the leader removes voters that are silent. Default false.
	OpenMembership bool
	Bootstrap      bool          // founding: an empty folder may found the fleet; else it only joins one. Default true
	RemoveAfter    time.Duration // remove_after: silence after which an open fleet removes a voter of an even set; default 3s, over election
}

// DataPlane is the settings of a dplane.
type DataPlane struct {
	Common
	ControlPlanes     []string      // core: addresses of cplanes; this or seeds is needed
	RunLease          time.Duration // hold: how long a minion keeps its work without a leader; default 20s
	PollWait          time.Duration // hold_wait: how long a minion may wait with its answer; default 1s
	StartWindow       time.Duration // start_window: from the commit of a run ID to its start order; default 500ms
	Lateness          time.Duration // lateness: bound on the late carrying-out by obeying minions; default 2s
	LeaseMargin       time.Duration // lease_margin: the duty is laid down this long before its end; default 500ms
	RoleLease         time.Duration // duty_lease: as the cplanes have it; default 3s, over lease_margin
	CallTimeout       time.Duration // call_timeout; default 2s
	MaxUnhealthyShare int           // sick_share: percent of a zone's minions that may be held sick at once; default 30, 0: none
	QueueLimit        int           // queue_limit: jobs that may be open at most; default 60000
}

// DefaultControlPlane has every default, and nothing that is needed.
func DefaultControlPlane() ControlPlane {
	return ControlPlane{
		Common: defaultCommon(), Election: time.Second, Heartbeat: 100 * time.Millisecond, Lease: 700 * time.Millisecond,
		RoleLease: 3 * time.Second, SnapshotEvery: 20000, QueueLimit: 60000, KeepEnded: 20000, KeepEndedFor: time.Hour,
		KeepTombstones: 200000, KeepTombstonesFor: 168 * time.Hour, Bootstrap: true, RemoveAfter: 3 * time.Second,
	}
}

// DefaultDataPlane has every default, and nothing that is needed.
func DefaultDataPlane() DataPlane {
	return DataPlane{
		Common: defaultCommon(), RunLease: 20 * time.Second, PollWait: time.Second, StartWindow: 500 * time.Millisecond,
		Lateness: 2 * time.Second, LeaseMargin: 500 * time.Millisecond, RoleLease: 3 * time.Second,
		CallTimeout: 2 * time.Second, MaxUnhealthyShare: 30, QueueLimit: 60000,
	}
}

func defaultCommon() Common { return Common{LogLevel: "info", Grace: 5 * time.Second} }

// LoadControlPlane reads and checks a cplane's settings file. A file that cannot be read is errs.Settings, as are the
// Mistakes in it (see Parse).
func LoadControlPlane(path string) (ControlPlane, error) {
	c := DefaultControlPlane()
	err := load(path, c.read)
	return c, errs.Pass(err, "cplane")
}

// LoadDataPlane is LoadControlPlane for a dplane.
func LoadDataPlane(path string) (DataPlane, error) {
	d := DefaultDataPlane()
	err := load(path, d.read)
	return d, errs.Pass(err, "dplane")
}

// CheckControlPlane returns all mistakes in c as Parse does, for settings that flags have changed.
func CheckControlPlane(c ControlPlane) error { return errs.Pass(checkSettings(c.read), "cplane") }

// CheckDataPlane is CheckControlPlane for a dplane.
func CheckDataPlane(d DataPlane) error { return errs.Pass(checkSettings(d.read), "dplane") }

func checkSettings(into func(r *Reader)) error {
	var out ValidationErrors
	checkTargets(&out, into)
	return errs.Wrap(out.orNil(), errs.Settings, "%s in the settings", out.count())
}

func load(path string, into func(r *Reader)) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errs.Wrap(err, errs.Settings, "read the settings")
	}
	return errs.Pass(Parse(data, into), "%s", path)
}

// Bounds of what may be set, wide: they catch slips of the unit, not odd choices.
const (
	minDuration  = time.Millisecond
	maxDuration  = time.Hour
	maxRetention = 10 * 365 * 24 * time.Hour
	maxCount     = 1 << 30

	maxSeedMembers = 3
)

func (c *Common) read(r *Reader) {
	r.Require("name", "zone", "region", "addr")
	r.String("name", &c.Name, NotEmpty)
	r.String("zone", &c.Zone, NotEmpty)
	r.String("region", &c.Region, NotEmpty)
	r.Addr("addr", &c.Addr)
	r.Strings("seeds", &c.Seeds, Address)
	if len(c.Seeds) > 3 {
		r.Reject("seeds", "must be 1 to 3 addresses, are %d", len(c.Seeds))
	}
	r.String("log_level", &c.LogLevel, OneOf("debug", "info", "warn", "error"))
	r.Duration("grace", &c.Grace, 0, maxDuration)
	r.Map("via", &c.Via, Address)
}

func (c *ControlPlane) read(r *Reader) {
	c.Common.read(r)
	if len(c.Seeds) == 0 {
		r.Reject("seeds", "must be 1 to 3 addresses, are 0")
	}
	r.Require("data", "members")
	r.String("data", &c.Data, NotEmpty)
	List(r, "members", &c.Members, func(r *Reader, m *Member) {
		r.Require("id", "addr", "zone")
		r.String("id", &m.ID, NotEmpty)
		r.Addr("addr", &m.Addr)
		r.String("zone", &m.Zone, NotEmpty)
	})
	if len(c.Members) == 0 {
		r.Reject("members", "must be at least one")
	}
	checkUnique(r, "members", "id", c.Members, func(m Member) string { return m.ID })
	checkUnique(r, "members", "addr", c.Members, func(m Member) string { return m.Addr })
	r.Duration("election", &c.Election, minDuration, maxDuration)
	r.Duration("heartbeat", &c.Heartbeat, minDuration, maxDuration)
	r.Duration("lease", &c.Lease, minDuration, maxDuration)
	r.Duration("duty_lease", &c.RoleLease, minDuration, maxDuration)
	r.Renamed("slot_every", "snapshot_every")
	r.Int("snapshot_every", &c.SnapshotEvery, 1, maxCount)
	r.Renamed("backlog", "queue_limit")
	r.Int("queue_limit", &c.QueueLimit, 1, maxCount)
	r.Int("keep_ended", &c.KeepEnded, 0, maxCount)
	r.Duration("keep_ended_for", &c.KeepEndedFor, 0, maxRetention)
	r.Int("keep_tombs", &c.KeepTombstones, 0, maxCount)
	r.Duration("keep_tombs_for", &c.KeepTombstonesFor, 0, maxRetention)
	List(r, "operator_keys", &c.OperatorKeys, func(r *Reader, k *OperatorKey) {
		r.Require("name", "key")
		r.String("name", &k.Name, NotEmpty)
		r.String("key", &k.Key, Base64(ed25519.PublicKeySize))
	})
	checkUnique(r, "operator_keys", "name", c.OperatorKeys, func(k OperatorKey) string { return k.Name })
	checkUnique(r, "operator_keys", "key", c.OperatorKeys, func(k OperatorKey) string { return k.Key })
	if len(c.OperatorKeys) == 1 {
		r.Reject("operator_keys", "must be none, or two at least: two operators sign each bundle")
	}
	r.Bool("open_membership", &c.OpenMembership)
	r.Bool("founding", &c.Bootstrap)
	r.Duration("remove_after", &c.RemoveAfter, minDuration, maxDuration)
	if c.OpenMembership {
		c.checkOpen(r)
	}
	if c.Lease >= c.Election {
		r.Reject("lease", "must be under election (%s), is %s", c.Election, c.Lease)
	}
	if 2*c.Heartbeat >= c.Lease {
		r.Reject("heartbeat", "must be under half of lease (%s), is %s", c.Lease, c.Heartbeat)
	}
}

// checkOpen checks what an open membership asks of the settings: nodes are named by the IP of their address.
func (c *ControlPlane) checkOpen(r *Reader) {
	if len(c.Members) > maxSeedMembers {
		r.Reject("members", "must be at most %d with open_membership, are %d", maxSeedMembers, len(c.Members))
	}
	if host := hostOf(c.Addr); host != "" && c.Name != host {
		r.Reject("name", "must be the IP of addr (%s) with open_membership, is %q", host, c.Name)
	}
	for i, m := range c.Members {
		if host := hostOf(m.Addr); host != "" && m.ID != host {
			r.Reject(itemPath("members", i)+".id", "must be the IP of addr (%s) with open_membership, is %q", host, m.ID)
		}
	}
	if c.RemoveAfter <= c.Election {
		r.Reject("remove_after", "must be over election (%s), is %s", c.Election, c.RemoveAfter)
	}
}

// hostOf returns the IP of an address, "" if it is none.
func hostOf(addr string) string {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	return a.Addr().String()
}

func (d *DataPlane) read(r *Reader) {
	d.Common.read(r)
	r.Strings("core", &d.ControlPlanes, Address)
	if len(d.ControlPlanes)+len(d.Seeds) == 0 {
		r.Reject("core", "must be given when there are no seeds")
	}
	r.Duration("hold", &d.RunLease, minDuration, maxDuration)
	r.Duration("hold_wait", &d.PollWait, minDuration, maxDuration)
	r.Duration("start_window", &d.StartWindow, minDuration, maxDuration)
	r.Duration("lateness", &d.Lateness, 0, maxDuration)
	r.Duration("lease_margin", &d.LeaseMargin, minDuration, maxDuration)
	r.Duration("duty_lease", &d.RoleLease, minDuration, maxDuration)
	r.Duration("call_timeout", &d.CallTimeout, minDuration, maxDuration)
	r.Int("sick_share", &d.MaxUnhealthyShare, 0, 100)
	r.Renamed("backlog", "queue_limit")
	r.Int("queue_limit", &d.QueueLimit, 1, maxCount)
	if d.LeaseMargin >= d.RoleLease {
		r.Reject("lease_margin", "must be under duty_lease (%s), is %s", d.RoleLease, d.LeaseMargin)
	}
}

// checkUnique makes it a mistake when two items have the same key.
func checkUnique[T any](r *Reader, list, field string, items []T, key func(T) string) {
	first := map[string]int{}
	for i, one := range items {
		k := key(one)
		if j, twice := first[k]; twice && k != "" {
			r.Reject(itemPath(list, i)+"."+field, "must differ from %s, both are %q", itemPath(list, j), k)
			continue
		}
		first[k] = i
	}
}
