package policyworker

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"crosstide/internal/errs"
)

// Duration is a time.Duration that is written as "1.5s" in settings.
type Duration time.Duration

// UnmarshalText parses a duration such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return errs.Wrap(err, errs.Settings, "duration")
}

// MarshalText formats the duration, such as "1.5s".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings configures `crosstide-testbed minion`, through flags or a JSON file.
type Settings struct {
	Name          string            `json:"name"`
	Addr          string            `json:"addr"` // host:port; port 0 selects a free one
	Kind          string            `json:"kind"` // KindObey or KindCheck
	Zone          string            `json:"zone"`
	Rack          string            `json:"rack"`
	Labels        map[string]string `json:"labels"`
	Cores         int               `json:"cores"`
	GPUs          int               `json:"gpus"`
	DataPlanes    []string          `json:"dplanes"` // addresses to announce to
	DialOverrides map[string]string `json:"via"`     // address to dial in place of the key
	Journal       string            `json:"journal"` // path; {name} is replaced by the worker's name
	Count         int               `json:"count"`   // above 1: workers NAME-0, NAME-1, … at one address
	Grace         Duration          `json:"grace"`   // of a leaving worker

	// Injected faults. The answer to a delayed call is lost with a probability of one half.
	MaxDelay        Duration `json:"late"` // a call with starts is delayed by up to this
	LossProbability float64  `json:"lose"` // of an answer, after its call was carried out
	FailProbability float64  `json:"fail"` // of a run
	SlowFactor      float64  `json:"slow"` // runs last up to this many times their duration
	Seed            uint64   `json:"seed"` // of the draws for the four fields above
}

// Defaults returns settings in which every optional field has its default.
func Defaults() Settings {
	return Settings{Addr: "127.0.0.1:0", Kind: KindCheck, Cores: 4, Count: 1, Grace: Duration(10 * time.Second),
		SlowFactor: 1}
}

// Load overwrites s with the settings in a JSON file. It refuses unknown keys. Failure: Settings.
func (s *Settings) Load(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errs.Wrap(err, errs.Settings, "read %s", path)
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	return errs.Wrap(dec.Decode(s), errs.Settings, "%s", path)
}

// Check reports all validation errors at once. Failure: Settings.
func (s Settings) Check() error {
	var problems []error
	require := func(ok bool, field, format string, args ...any) {
		if !ok {
			problems = append(problems, errs.Field(errs.Settings, field, format, args...))
		}
	}
	_, _, err := net.SplitHostPort(s.Addr)
	require(s.Name != "", "name", "is required")
	require(err == nil, "addr", "must be host:port, got %q", s.Addr)
	require(s.Kind == KindObey || s.Kind == KindCheck, "kind", "must be obey or check, got %q", s.Kind)
	require(s.Zone != "", "zone", "is required")
	require(s.Cores >= 0 && s.GPUs >= 0, "cores", "cores and gpus must be at least 0")
	require(s.Journal != "", "journal", "is required")
	require(s.Count >= 1, "count", "must be at least 1, got %d", s.Count)
	require(s.Grace >= 0 && s.MaxDelay >= 0, "grace", "grace and late must be at least 0")
	isProbability := func(p float64) bool { return p >= 0 && p <= 1 }
	areProbabilities := isProbability(s.LossProbability) && isProbability(s.FailProbability)
	require(areProbabilities, "lose", "lose and fail must be from 0 to 1")
	require(s.SlowFactor >= 1 && s.SlowFactor <= 1000, "slow", "must be from 1 to 1000")
	for _, d := range s.DataPlanes {
		_, _, err := net.SplitHostPort(d)
		require(err == nil, "dplanes", "must be host:port, got %q", d)
	}
	return errs.Wrap(errors.Join(problems...), errs.Settings, "settings of the minion")
}

// names returns the names of the workers.
func (s Settings) names() []string {
	if s.Count == 1 {
		return []string{s.Name}
	}
	names := make([]string, s.Count)
	for i := range names {
		names[i] = s.Name + "-" + strconv.Itoa(i)
	}
	return names
}

func (s Settings) traits(name, incarnation string) Traits {
	return Traits{Name: name, Incarnation: incarnation, Kind: s.Kind, Zone: s.Zone, Rack: s.Rack, Labels: s.Labels,
		Cores: s.Cores, GPUs: s.GPUs, Grace: time.Duration(s.Grace), FailProbability: s.FailProbability,
		SlowFactor: s.SlowFactor, Seed: s.Seed}
}
