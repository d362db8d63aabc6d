package membership

import "time"

// Config has the bounds of a Core; see Defaults. All times are real time.
type Config struct {
	ShuffleInterval time.Duration // between two shuffles of a node, a tenth more or less
	ViewSize        int           // neighbours at most
	ShuffleLength   int           // members of a shuffle, the sender counted
	DirectorySize   int           // control-plane nodes kept, and sent, at most
	MaxDepartures   int           // departures sent at most, and suspects asked for at most
	MaxTombstones   int           // tombstones kept at most
	SuspectTimeout  time.Duration // a suspect without a newer version is removed after it
	MemberTTL       time.Duration // a version older than it is forgotten everywhere
	// DirectoryTTL is the MemberTTL of the directory, whose entries are refreshed within a few shuffles.
	DirectoryTTL time.Duration
	// ShufflesPerSeedVisit is the number of shuffles between two visits to a seed, of a control-plane node or of one
	// that knows none.
	ShufflesPerSeedVisit int
}

// Defaults are the values of the daemons.
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
