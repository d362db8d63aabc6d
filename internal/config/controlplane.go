package config

import (
	"crypto/ed25519"
	"net/netip"
	"time"

	"crosstide/internal/errs"
)

// maxSeedMembers is the maximum number of members in the settings of an open membership.
const maxSeedMembers = 3

// Member is a bootstrap member of the control plane's store.
type Member struct{ ID, Addr, Zone string }

// OperatorKey is an operator's ed25519 public key: 32 bytes in base64.
type OperatorKey struct{ Name, Key string }

// ControlPlane holds the settings of a control-plane node. Each field's comment begins with the setting's name.
type ControlPlane struct {
	Common
	Data    string   // data: the store's folder; required
	Members []Member // members: the store's bootstrap members; required

	ElectionTimeout time.Duration // election: silence of the leader after which a node starts an election; default 1s
	Heartbeat       time.Duration // heartbeat: the leader's heartbeat interval; default 100ms, less than half of lease
	Lease           time.Duration // lease: duration of the leader's lease; default 700ms, less than election
	RoleLease       time.Duration // duty_lease: lease duration of a singleton role; default 3s

	SnapshotEvery     int           // snapshot_every: log entries between two snapshots; default 20000
	QueueLimit        int           // queue_limit: maximum number of open jobs; default 60000
	KeepEnded         int           // keep_ended: maximum number of ended jobs kept; default 20000
	KeepEndedFor      time.Duration // keep_ended_for: maximum age of ended jobs; default 1h
	KeepTombstones    int           // keep_tombs: maximum number of tombstones kept; default 200000
	KeepTombstonesFor time.Duration // keep_tombs_for: maximum age of tombstones and orders; default 168h

	OperatorKeys []OperatorKey // operator_keys: keys that may sign from the bootstrap on; none, or at least two

	// OpenMembership, open_membership: if true, members lists only seeds, which may differ between nodes and between
	// restarts; any node may join, and the leader removes silent voters. Default false.
	OpenMembership bool
	// Bootstrap, founding: if true, a node with an empty folder may bootstrap a new cluster; if false, it only joins
	// an existing one. Default true.
	Bootstrap bool
	// RemoveAfter, remove_after: silence after which the leader removes a voter if the membership is open and the
	// number of voters is even; default 3s, greater than election.
	RemoveAfter time.Duration
}

// DefaultControlPlane returns the default settings. Required settings are empty.
func DefaultControlPlane() ControlPlane {
	return ControlPlane{
		Common:            defaultCommon(),
		ElectionTimeout:   time.Second,
		Heartbeat:         100 * time.Millisecond,
		Lease:             700 * time.Millisecond,
		RoleLease:         3 * time.Second,
		SnapshotEvery:     20000,
		QueueLimit:        60000,
		KeepEnded:         20000,
		KeepEndedFor:      time.Hour,
		KeepTombstones:    200000,
		KeepTombstonesFor: 168 * time.Hour,
		Bootstrap:         true,
		RemoveAfter:       3 * time.Second,
	}
}

// LoadControlPlane reads and validates a settings file. Its errors are errs.Settings: the file cannot be read, or has
// ValidationErrors; see Parse.
func LoadControlPlane(path string) (ControlPlane, error) {
	c := DefaultControlPlane()
	err := load(path, c.read)
	return c, errs.Pass(err, "control-plane node")
}

// CheckControlPlane validates settings that flags have changed. It returns the same errors as Parse.
func CheckControlPlane(c ControlPlane) error {
	return errs.Pass(checkSettings(c.read), "control-plane node")
}

func (c *ControlPlane) read(r *Reader) {
	c.Common.read(r)
	if len(c.Seeds) == 0 {
		r.Reject("seeds", "must be 1 to 3 addresses, got 0")
	}
	r.Require("data", "members")
	r.String("data", &c.Data, NotEmpty)
	c.readMembers(r)
	r.Duration("election", &c.ElectionTimeout, minDuration, maxDuration)
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
	c.readOperatorKeys(r)
	r.Bool("open_membership", &c.OpenMembership)
	r.Bool("founding", &c.Bootstrap)
	r.Duration("remove_after", &c.RemoveAfter, minDuration, maxDuration)
	if c.OpenMembership {
		c.checkOpenMembership(r)
	}
	if c.Lease >= c.ElectionTimeout {
		r.Reject("lease", "must be less than election (%s), is %s", c.ElectionTimeout, c.Lease)
	}
	if 2*c.Heartbeat >= c.Lease {
		r.Reject("heartbeat", "must be less than half of lease (%s), is %s", c.Lease, c.Heartbeat)
	}
}

func (c *ControlPlane) readMembers(r *Reader) {
	List(r, "members", &c.Members, func(r *Reader, m *Member) {
		r.Require("id", "addr", "zone")
		r.String("id", &m.ID, NotEmpty)
		r.Addr("addr", &m.Addr)
		r.String("zone", &m.Zone, NotEmpty)
	})
	if len(c.Members) == 0 {
		r.Reject("members", "must have at least one item")
	}
	checkUnique(r, "members", "id", c.Members, func(m Member) string { return m.ID })
	checkUnique(r, "members", "addr", c.Members, func(m Member) string { return m.Addr })
}

func (c *ControlPlane) readOperatorKeys(r *Reader) {
	List(r, "operator_keys", &c.OperatorKeys, func(r *Reader, k *OperatorKey) {
		r.Require("name", "key")
		r.String("name", &k.Name, NotEmpty)
		r.String("key", &k.Key, Base64(ed25519.PublicKeySize))
	})
	checkUnique(r, "operator_keys", "name", c.OperatorKeys, func(k OperatorKey) string { return k.Name })
	checkUnique(r, "operator_keys", "key", c.OperatorKeys, func(k OperatorKey) string { return k.Key })
	if len(c.OperatorKeys) == 1 {
		r.Reject("operator_keys", "must be empty or have at least two items: two operators sign each bundle")
	}
}

// checkOpenMembership validates the settings that an open membership restricts: the number of members, the names of
// nodes, which must be the IPs of their addresses, and remove_after.
func (c *ControlPlane) checkOpenMembership(r *Reader) {
	if len(c.Members) > maxSeedMembers {
		r.Reject("members", "must have at most %d items with open_membership, got %d", maxSeedMembers, len(c.Members))
	}
	if host := hostOf(c.Addr); host != "" && c.Name != host {
		r.Reject("name", "must be the IP of addr (%s) with open_membership, is %q", host, c.Name)
	}
	for i, m := range c.Members {
		if host := hostOf(m.Addr); host != "" && m.ID != host {
			r.Reject(itemPath("members", i)+".id", "must be the IP of addr (%s) with open_membership, is %q",
				host, m.ID)
		}
	}
	if c.RemoveAfter <= c.ElectionTimeout {
		r.Reject("remove_after", "must be greater than election (%s), is %s", c.ElectionTimeout, c.RemoveAfter)
	}
}

// hostOf returns the IP of addr, or "" if addr is not IP:port.
func hostOf(addr string) string {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	return a.Addr().String()
}
