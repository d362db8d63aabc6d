package membership

import "time"

// Config holds the intervals and limits of a Core. All nodes of a fleet use the same values; Defaults returns those of
// the daemons.
type Config struct {
	ShuffleInterval time.Duration // mean time between two shuffles of a node; varies by up to 10 %
	ViewSize        int           // maximum number of neighbours of a node
	ShuffleLength   int           // maximum number of members in a shuffle, including the sender
	DirectorySize   int           // maximum number of control-plane nodes that a node stores and sends
	MaxDepartures   int           // maximum number of departures, and of suspects, in a message
	MaxTombstones   int           // maximum number of tombstones that a node stores
	SuspectTimeout  time.Duration // time without a newer version after which a suspect is removed
	MemberTTL       time.Duration // age at which every node discards a version
	// DirectoryTTL is the MemberTTL of directory entries. It is shorter because every message refreshes the directory.
	DirectoryTTL time.Duration
	// ShufflesPerSeedVisit is the number of shuffles between two visits to a seed, by control-plane nodes and by nodes
	// with an empty directory. Other nodes visit seeds only to join, and while they have no neighbour to shuffle with.
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
