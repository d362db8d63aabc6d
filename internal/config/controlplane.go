package config

import (
	"crypto/ed25519"
	"net/netip"
	"time"

	"crosstide/internal/errs"
)

// maxSeedMembers bounds the members in the settings of an open membership.
const maxSeedMembers = 3

// Member is one of the first nodes of the control plane.
type Member struct{ ID, Addr, Zone string }

// OperatorKey is an operator's public key, 32 bytes of ed25519 in base64.
type OperatorKey struct{ Name, Key string }

// ControlPlane are the settings of a control plane node. Each comment begins with the setting's name.
type ControlPlane struct {
	Common
	Data    string   // data: the folder of the store, required
	Members []Member // members: the first members of the store, required

	Election  time.Duration // election: silence after which a node campaigns to lead; default 1s
	Heartbeat time.Duration // heartbeat: of the leader; default 100ms, under half of lease
	Lease     time.Duration // lease: of the leader; default 700ms, under election
	RoleLease time.Duration // duty_lease: of a singleton role; default 3s

	SnapshotEvery     int           // snapshot_every: log entries between two snapshots; default 20000
	QueueLimit        int           // queue_limit: jobs that may be open at most; default 60000
	KeepEnded         int           // keep_ended: ended jobs kept at most; default 20000
	KeepEndedFor      time.Duration // keep_ended_for; default 1h
	KeepTombstones    int           // keep_tombs: tombstones kept at most; default 200000
	KeepTombstonesFor time.Duration // keep_tombs_for; default 168h

	OperatorKeys []OperatorKey // operator_keys: who may sign from the bootstrap on; none, or two at least

	// OpenMembership, open_membership: members are only seeds, which may differ between nodes and starts; any node
	// may join, and the leader removes voters that are silent. Default false.
	OpenMembership bool
	// Bootstrap, founding: an empty folder may begin a new cluster; else it only joins one. Default true.
	Bootstrap bool
	// RemoveAfter, remove_after: silence after which an open cluster removes a voter of an even set; default 3s, over
	// election.
	RemoveAfter time.Duration
}

// DefaultControlPlane returns the defaults; required settings are empty.
func DefaultControlPlane() ControlPlane {
	return ControlPlane{
		Common:            defaultCommon(),
		Election:          time.Second,
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

// LoadControlPlane reads and checks a settings file. All its errors are errs.Settings: for a file that cannot be read,
// and for one with ValidationErrors, see Parse.
func LoadControlPlane(path string) (ControlPlane, error) {
	c := DefaultControlPlane()
	err := load(path, c.read)
	return c, errs.Pass(err, "cplane")
}

// CheckControlPlane checks settings that flags have changed; the error is as that of Parse.
func CheckControlPlane(c ControlPlane) error { return errs.Pass(checkSettings(c.read), "cplane") }

func (c *ControlPlane) read(r *Reader) {
	c.Common.read(r)
	if len(c.Seeds) == 0 {
		r.Reject("seeds", "must be 1 to 3 addresses, are 0")
	}
	r.Require("data", "members")
	r.String("data", &c.Data, NotEmpty)
	c.readMembers(r)
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
	c.readOperatorKeys(r)
	r.Bool("open_membership", &c.OpenMembership)
	r.Bool("founding", &c.Bootstrap)
	r.Duration("remove_after", &c.RemoveAfter, minDuration, maxDuration)
	if c.OpenMembership {
		c.checkOpenMembership(r)
	}
	if c.Lease >= c.Election {
		r.Reject("lease", "must be under election (%s), is %s", c.Election, c.Lease)
	}
	if 2*c.Heartbeat >= c.Lease {
		r.Reject("heartbeat", "must be under half of lease (%s), is %s", c.Lease, c.Heartbeat)
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
		r.Reject("members", "must be at least one")
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
		r.Reject("operator_keys", "must be none, or two at least: two operators sign each bundle")
	}
}

// checkOpenMembership checks what an open membership requires, above all that nodes are named by the IP of their
// address.
func (c *ControlPlane) checkOpenMembership(r *Reader) {
	if len(c.Members) > maxSeedMembers {
		r.Reject("members", "must be at most %d with open_membership, are %d", maxSeedMembers, len(c.Members))
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
	if c.RemoveAfter <= c.Election {
		r.Reject("remove_after", "must be over election (%s), is %s", c.Election, c.RemoveAfter)
	}
}

// hostOf returns the IP of an address; "" if addr is no address.
func hostOf(addr string) string {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	return a.Addr().String()
}
