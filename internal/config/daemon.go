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

// Cplane is the settings of a cplane.
type Cplane struct {
	Common
	Data          string        // data: the folder of the store, needed
	Members       []Member      // members: the first members of the store, needed
	Election      time.Duration // election: silence after which a node campaigns to lead; default 1s
	Heartbeat     time.Duration // heartbeat: of the leader; default 100ms, under half of lease
	Lease         time.Duration // lease: of the leader; default 700ms, under election
	DutyLease     time.Duration // duty_lease; default 3s
	SnapshotEvery int           // snapshot_every: log entries between two snapshots; default 20000
	QueueLimit    int           // queue_limit: jobs that may be open at most; default 60000
	KeepEnded     int           // keep_ended: ended jobs kept at most; default 20000
	KeepEndedFor  time.Duration // keep_ended_for; default 1h
	KeepTombs     int           // keep_tombs: tombstones kept at most; default 200000
	KeepTombsFor  time.Duration // keep_tombs_for; default 168h
	OperatorKeys  []OperatorKey // operator_keys: who may sign from the founding on; none, or two at least

	// OpenMembership, open_membership: members are only seeds, which may differ between nodes and starts; any node
	// may join, and the leader removes voters that are silent. Default false.
	OpenMembership bool
	Founding       bool          // founding: an empty folder may found the fleet; else it only joins one. Default true
	RemoveAfter    time.Duration // remove_after: silence after which an open fleet removes a voter of an even set; default 3s, over election
}

// Dplane is the settings of a dplane.
type Dplane struct {
	Common
	Core        []string      // core: addresses of cplanes; this or seeds is needed
	Hold        time.Duration // hold: how long a minion keeps its work without a leader; default 20s
	HoldWait    time.Duration // hold_wait: how long a minion may wait with its answer; default 1s
	StartWindow time.Duration // start_window: from the commit of a run ID to its start order; default 500ms
	Lateness    time.Duration // lateness: bound on the late carrying-out by obeying minions; default 2s
	LeaseMargin time.Duration // lease_margin: the duty is laid down this long before its end; default 500ms
	DutyLease   time.Duration // duty_lease: as the cplanes have it; default 3s, over lease_margin
	CallTimeout time.Duration // call_timeout; default 2s
	SickShare   int           // sick_share: percent of a zone's minions that may be held sick at once; default 30, 0: none
	QueueLimit  int           // queue_limit: jobs that may be open at most; default 60000
}

// DefaultCplane has every default, and nothing that is needed.
func DefaultCplane() Cplane {
	return Cplane{
		Common: defaultCommon(), Election: time.Second, Heartbeat: 100 * time.Millisecond, Lease: 700 * time.Millisecond,
		DutyLease: 3 * time.Second, SnapshotEvery: 20000, QueueLimit: 60000, KeepEnded: 20000, KeepEndedFor: time.Hour,
		KeepTombs: 200000, KeepTombsFor: 168 * time.Hour, Founding: true, RemoveAfter: 3 * time.Second,
	}
}

// DefaultDplane has every default, and nothing that is needed.
func DefaultDplane() Dplane {
	return Dplane{
		Common: defaultCommon(), Hold: 20 * time.Second, HoldWait: time.Second, StartWindow: 500 * time.Millisecond,
		Lateness: 2 * time.Second, LeaseMargin: 500 * time.Millisecond, DutyLease: 3 * time.Second,
		CallTimeout: 2 * time.Second, SickShare: 30, QueueLimit: 60000,
	}
}

func defaultCommon() Common { return Common{LogLevel: "info", Grace: 5 * time.Second} }

// LoadCplane reads and checks a cplane's settings file. A file that cannot be read is errs.Settings, as are the
// Mistakes in it (see Parse).
func LoadCplane(path string) (Cplane, error) {
	c := DefaultCplane()
	err := load(path, c.read)
	return c, errs.Pass(err, "cplane")
}

// LoadDplane is LoadCplane for a dplane.
func LoadDplane(path string) (Dplane, error) {
	d := DefaultDplane()
	err := load(path, d.read)
	return d, errs.Pass(err, "dplane")
}

// CheckCplane returns all mistakes in c as Parse does, for settings that flags have changed.
func CheckCplane(c Cplane) error { return errs.Pass(checkSettings(c.read), "cplane") }

// CheckDplane is CheckCplane for a dplane.
func CheckDplane(d Dplane) error { return errs.Pass(checkSettings(d.read), "dplane") }

func checkSettings(into func(r *Reader)) error {
	var out Mistakes
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
	shortest = time.Millisecond
	longest  = time.Hour
	oldest   = 10 * 365 * 24 * time.Hour
	largest  = 1 << 30

	maxSeedMembers = 3
)

func (c *Common) read(r *Reader) {
	r.Need("name", "zone", "region", "addr")
	r.String("name", &c.Name, Filled)
	r.String("zone", &c.Zone, Filled)
	r.String("region", &c.Region, Filled)
	r.Addr("addr", &c.Addr)
	r.Strings("seeds", &c.Seeds, Address)
	if len(c.Seeds) > 3 {
		r.Wrong("seeds", "must be 1 to 3 addresses, are %d", len(c.Seeds))
	}
	r.String("log_level", &c.LogLevel, OneOf("debug", "info", "warn", "error"))
	r.Duration("grace", &c.Grace, 0, longest)
	r.Map("via", &c.Via, Address)
}

func (c *Cplane) read(r *Reader) {
	c.Common.read(r)
	if len(c.Seeds) == 0 {
		r.Wrong("seeds", "must be 1 to 3 addresses, are 0")
	}
	r.Need("data", "members")
	r.String("data", &c.Data, Filled)
	List(r, "members", &c.Members, func(r *Reader, m *Member) {
		r.Need("id", "addr", "zone")
		r.String("id", &m.ID, Filled)
		r.Addr("addr", &m.Addr)
		r.String("zone", &m.Zone, Filled)
	})
	if len(c.Members) == 0 {
		r.Wrong("members", "must be at least one")
	}
	checkUnique(r, "members", "id", c.Members, func(m Member) string { return m.ID })
	checkUnique(r, "members", "addr", c.Members, func(m Member) string { return m.Addr })
	r.Duration("election", &c.Election, shortest, longest)
	r.Duration("heartbeat", &c.Heartbeat, shortest, longest)
	r.Duration("lease", &c.Lease, shortest, longest)
	r.Duration("duty_lease", &c.DutyLease, shortest, longest)
	r.Renamed("slot_every", "snapshot_every")
	r.Int("snapshot_every", &c.SnapshotEvery, 1, largest)
	r.Renamed("backlog", "queue_limit")
	r.Int("queue_limit", &c.QueueLimit, 1, largest)
	r.Int("keep_ended", &c.KeepEnded, 0, largest)
	r.Duration("keep_ended_for", &c.KeepEndedFor, 0, oldest)
	r.Int("keep_tombs", &c.KeepTombs, 0, largest)
	r.Duration("keep_tombs_for", &c.KeepTombsFor, 0, oldest)
	List(r, "operator_keys", &c.OperatorKeys, func(r *Reader, k *OperatorKey) {
		r.Need("name", "key")
		r.String("name", &k.Name, Filled)
		r.String("key", &k.Key, Base64(ed25519.PublicKeySize))
	})
	checkUnique(r, "operator_keys", "name", c.OperatorKeys, func(k OperatorKey) string { return k.Name })
	checkUnique(r, "operator_keys", "key", c.OperatorKeys, func(k OperatorKey) string { return k.Key })
	if len(c.OperatorKeys) == 1 {
		r.Wrong("operator_keys", "must be none, or two at least: two operators sign each bundle")
	}
	r.Bool("open_membership", &c.OpenMembership)
	r.Bool("founding", &c.Founding)
	r.Duration("remove_after", &c.RemoveAfter, shortest, longest)
	if c.OpenMembership {
		c.checkOpen(r)
	}
	if c.Lease >= c.Election {
		r.Wrong("lease", "must be under election (%s), is %s", c.Election, c.Lease)
	}
	if 2*c.Heartbeat >= c.Lease {
		r.Wrong("heartbeat", "must be under half of lease (%s), is %s", c.Lease, c.Heartbeat)
	}
}

// checkOpen checks what an open membership asks of the settings: nodes are named by the IP of their address.
func (c *Cplane) checkOpen(r *Reader) {
	if len(c.Members) > maxSeedMembers {
		r.Wrong("members", "must be at most %d with open_membership, are %d", maxSeedMembers, len(c.Members))
	}
	if host := hostOf(c.Addr); host != "" && c.Name != host {
		r.Wrong("name", "must be the IP of addr (%s) with open_membership, is %q", host, c.Name)
	}
	for i, m := range c.Members {
		if host := hostOf(m.Addr); host != "" && m.ID != host {
			r.Wrong(itemPath("members", i)+".id", "must be the IP of addr (%s) with open_membership, is %q", host, m.ID)
		}
	}
	if c.RemoveAfter <= c.Election {
		r.Wrong("remove_after", "must be over election (%s), is %s", c.Election, c.RemoveAfter)
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

func (d *Dplane) read(r *Reader) {
	d.Common.read(r)
	r.Strings("core", &d.Core, Address)
	if len(d.Core)+len(d.Seeds) == 0 {
		r.Wrong("core", "must be given when there are no seeds")
	}
	r.Duration("hold", &d.Hold, shortest, longest)
	r.Duration("hold_wait", &d.HoldWait, shortest, longest)
	r.Duration("start_window", &d.StartWindow, shortest, longest)
	r.Duration("lateness", &d.Lateness, 0, longest)
	r.Duration("lease_margin", &d.LeaseMargin, shortest, longest)
	r.Duration("duty_lease", &d.DutyLease, shortest, longest)
	r.Duration("call_timeout", &d.CallTimeout, shortest, longest)
	r.Int("sick_share", &d.SickShare, 0, 100)
	r.Renamed("backlog", "queue_limit")
	r.Int("queue_limit", &d.QueueLimit, 1, largest)
	if d.LeaseMargin >= d.DutyLease {
		r.Wrong("lease_margin", "must be under duty_lease (%s), is %s", d.DutyLease, d.LeaseMargin)
	}
}

// checkUnique makes it a mistake when two items have the same key.
func checkUnique[T any](r *Reader, list, field string, items []T, key func(T) string) {
	first := map[string]int{}
	for i, one := range items {
		k := key(one)
		if j, twice := first[k]; twice && k != "" {
			r.Wrong(itemPath(list, i)+"."+field, "must differ from %s, both are %q", itemPath(list, j), k)
			continue
		}
		first[k] = i
	}
}
