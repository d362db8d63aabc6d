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

// UnmarshalText reads "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return errs.Wrap(err, errs.Settings, "duration")
}

// MarshalText writes "1.5s".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings are those of `crosstide-testbed minion`, as flags or as JSON.
type Settings struct {
	Name          string            `json:"name"`
	Addr          string            `json:"addr"` // host:port; port 0 takes a free one
	Kind          string            `json:"kind"` // KindObey or KindCheck
	Zone          string            `json:"zone"`
	Rack          string            `json:"rack"`
	Labels        map[string]string `json:"labels"`
	Cores         int               `json:"cores"`
	GPUs          int               `json:"gpus"`
	DataPlanes    []string          `json:"dplanes"` // addresses to announce to
	DialOverrides map[string]string `json:"via"`     // an address in it is dialed at the other one
	Journal       string            `json:"journal"` // path; {name} stands for the worker's name
	Count         int               `json:"count"`   // over 1: workers NAME-0, NAME-1, … at one address
	Grace         Duration          `json:"grace"`   // of a worker that leaves

	// Injected faults. A call that comes late has its answer lost with a probability of one half.
	MaxDelay        Duration `json:"late"` // calls with starts are carried out late by up to this
	LossProbability float64  `json:"lose"` // that an answer is dropped after its call was carried out
	FailProbability float64  `json:"fail"` // that a run fails
	SlowFactor      float64  `json:"slow"` // runs take up to this many times as long
	Seed            uint64   `json:"seed"` // of all four
}

// Defaults returns the settings with the defaults of all that are optional.
func Defaults() Settings {
	return Settings{Addr: "127.0.0.1:0", Kind: KindCheck, Cores: 4, Count: 1, Grace: Duration(10 * time.Second),
		SlowFactor: 1}
}

// Load reads settings from a JSON file over those in s; keys that are not known are refused. Failure: Settings.
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
	require(s.Name != "", "name", "is needed")
	require(err == nil, "addr", "%q is not host:port", s.Addr)
	require(s.Kind == KindObey || s.Kind == KindCheck, "kind", "is %q, not obey or check", s.Kind)
	require(s.Zone != "", "zone", "is needed")
	require(s.Cores >= 0 && s.GPUs >= 0, "cores", "and gpus must be at least 0")
	require(s.Journal != "", "journal", "is needed")
	require(s.Count >= 1, "count", "must be at least 1, is %d", s.Count)
	require(s.Grace >= 0 && s.MaxDelay >= 0, "grace", "and late must be at least 0")
	isProbability := func(p float64) bool { return p >= 0 && p <= 1 }
	areProbabilities := isProbability(s.LossProbability) && isProbability(s.FailProbability)
	require(areProbabilities, "lose", "and fail must be from 0 to 1")
	require(s.SlowFactor >= 1 && s.SlowFactor <= 1000, "slow", "must be from 1 to 1000")
	for _, d := range s.DataPlanes {
		_, _, err := net.SplitHostPort(d)
		require(err == nil, "dplanes", "%q is not host:port", d)
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
