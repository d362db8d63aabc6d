package state

import (
	"maps"
	"slices"
)

// indexes are derived from the records, never stored, and owned by State: New and Decode rebuild them, and the
// functions that change a record keep them up to date.
type indexes struct {
	usage          map[string]*Usage // by worker; an entry is kept after its last handle is removed
	runningByType  map[string]int    // handles by task type; no zeros
	openJobs       int               // jobs that are not terminal
	openJobsByTeam map[string]int    // jobs that are not terminal, by team; no zeros
	labelSites     map[labelSite]int // number of workers by labelSite; no zeros
}

// Usage is the part of a worker's capacity that its handles occupy. It is owned by State: callers must not change it.
type Usage struct {
	Cores, GPUs int
	Handles     map[uint64]*Handle // by run ID
}

// rebuildIndexes derives all indexes from the records.
func (s *State) rebuildIndexes() {
	s.indexes = indexes{
		usage: map[string]*Usage{}, runningByType: map[string]int{}, openJobsByTeam: map[string]int{},
		labelSites: map[labelSite]int{},
	}
	for _, w := range s.Workers {
		s.indexes.addLabels(w, 1)
	}
	for _, j := range s.Jobs {
		j.rebuildIndex()
		if !j.Phase.IsTerminal() {
			s.indexes.addOpenJob(j.Spec.Team, 1)
		}
	}
	for _, h := range s.Handles {
		s.indexes.addHandle(h)
	}
	if s.Accounts != nil {
		s.Accounts.Rebuild()
		s.SetAccounts(s.Accounts)
	}
}

func (x *indexes) addHandle(handle *Handle) {
	u := x.usageOf(handle.Worker)
	u.Cores += handle.Cores
	u.GPUs += handle.GPUs
	u.Handles[handle.RunID] = handle
	x.runningByType[handle.Type]++
}

func (x *indexes) removeHandle(handle *Handle) {
	u := x.usageOf(handle.Worker)
	u.Cores -= handle.Cores
	u.GPUs -= handle.GPUs
	delete(u.Handles, handle.RunID)
	if x.runningByType[handle.Type]--; x.runningByType[handle.Type] == 0 {
		delete(x.runningByType, handle.Type)
	}
}

// usageOf returns the usage of a worker. It first adds an empty one to the index if the worker has none.
func (x *indexes) usageOf(worker string) *Usage {
	u := x.usage[worker]
	if u == nil {
		u = &Usage{Handles: map[uint64]*Handle{}}
		x.usage[worker] = u
	}
	return u
}

// addOpenJob adds delta, 1 or -1, to the total count of open jobs and to the count of a team.
func (x *indexes) addOpenJob(team string, delta int) {
	x.openJobs += delta
	if x.openJobsByTeam[team] += delta; x.openJobsByTeam[team] == 0 {
		delete(x.openJobsByTeam, team)
	}
}

// addLabels adds delta, 1 or -1, to the counts of a worker's label sites. It reports whether some site appeared or
// disappeared.
func (x *indexes) addLabels(w *Worker, delta int) bool {
	changed := false
	for label, value := range w.Labels {
		for _, scope := range []string{ScopeZone, ScopeRack} {
			site := labelSiteOf(Near{label, value, scope}, w)
			count := x.labelSites[site] + delta
			changed = changed || count == 0 || count == delta
			if x.labelSites[site] = count; count == 0 {
				delete(x.labelSites, site)
			}
		}
	}
	return changed
}

// UsageOf returns the usage of a worker; never nil.
func (s *State) UsageOf(worker string) *Usage { return s.indexes.usageOf(worker) }

// RunIDsOn returns the IDs of the runs with a handle on a worker, oldest first.
func (s *State) RunIDsOn(worker string) []uint64 {
	handles := s.UsageOf(worker).Handles
	ids := make([]uint64, 0, len(handles))
	for id := range handles {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// RunningCount returns the number of handles of a task type.
func (s *State) RunningCount(taskType string) int { return s.indexes.runningByType[taskType] }

// HandlesByType returns the number of handles by task type, as a copy.
func (s *State) HandlesByType() map[string]int { return maps.Clone(s.indexes.runningByType) }

// OpenJobs returns the number of jobs that are not terminal.
func (s *State) OpenJobs() int { return s.indexes.openJobs }

// OpenJobsOf returns the number of a team's jobs that are not terminal.
func (s *State) OpenJobsOf(team string) int { return s.indexes.openJobsByTeam[team] }
