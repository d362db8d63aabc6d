package membership

import "time"

// Config has the bounds of a Core; Defaults returns the values of the daemons. All nodes of a fleet have the same.
type Config struct {
	ShuffleInterval time.Duration // between two shuffles of a node, a tenth more or less
	ViewSize        int           // most neighbours of a node
	ShuffleLength   int           // most members in a shuffle, the sender included
	DirectorySize   int           // most control-plane nodes that a node keeps and sends
	MaxDepartures   int           // most departures, and most suspects, in a message
	MaxTombstones   int           // most tombstones that a node keeps
	SuspectTimeout  time.Duration // how long a suspect may go without a newer version before it is removed
	MemberTTL       time.Duration // age at which every node drops a version
	// DirectoryTTL is the MemberTTL of the directory. It is shorter, as every message refreshes the directory.
	DirectoryTTL time.Duration
	// ShufflesPerSeedVisit is the number of shuffles between two visits to a seed. It holds for control-plane nodes
	// and for nodes that know none of them; the others do not visit seeds once they have joined.
	ShufflesPerSeedVisit int
}

// Defaults returns the values of the daemons.
func Defaults() Config {
	return Config{
		ShuffleInterval:      time.Second,
		ViewSize:             16,
		ShuffleLength:        6,
		DirectorySize:        16,
		MaxDepartures:        4,
		MaxTombstones:        64,
		SuspectTimeout:       5 * time.Second,
		MemberTTL:            time.Minute,
		DirectoryTTL:         30 * time.Second,
		ShufflesPerSeedVisit: 10,
	}
}
