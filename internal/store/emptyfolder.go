package store

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
)

const (
	retryInterval      = 200 * time.Millisecond // between calls to the members in the settings
	openSurveyInterval = 100 * time.Millisecond // between rounds of resolveEmptyFolder in an open fleet
	surveyLogInterval  = 5 * time.Second
)

// resolveEmptyFolder determines why the folder is empty: the fleet starts for the first time, or this node lost its
// disk. It returns true once the core is started, false if the store is stopped first.
//
// A node with an empty folder must never vote under an ID that was used before: the votes and acknowledged entries of
// the earlier incarnation would be forgotten. So it bootstraps the fleet only if every other member is fresh too, or if
// a member that has bootstrapped lists this process among those that were fresh. If a fleet exists, it joins under a
// new ID. While neither is certain it does not vote and asks again.
func (s *Store) resolveEmptyFolder(ctx context.Context) bool {
	survey, interval := s.surveyFixed, retryInterval
	pause := func() time.Duration { return retryInterval }
	if s.settings.OpenMembership {
		survey, interval = s.surveyOpen, openSurveyInterval
		pause = func() time.Duration { return jitter(openSurveyInterval) }
	}
	var incarnations map[string]string
	for round := 0; ; round++ {
		result := survey(ctx, incarnations)
		incarnations = result.incarnations
		if err := s.actOnSurvey(result); err != nil {
			s.fatal(errs.Pass(err, "resolve an empty folder"))
			return false
		}
		if s.core != nil {
			return true
		}
		if round%int(surveyLogInterval/interval) == 0 {
			_ = level.Info(s.logger).Log("msg", "empty folder, other members asked", "answers", result.answers,
				"seeds", len(s.settings.Members))
		}
		if !s.sleep(ctx, pause()) {
			return false
		}
	}
}

// surveyResult is the result of one round of calls to other nodes.
type surveyResult struct {
	decision     bootstrapDecision
	incarnations map[string]string // of the other members, by ID; nil unless all are fresh, see decideBootstrap
	answers      int
}

// actOnSurvey carries out the decision: it bootstraps, starts as a new incarnation, or only logs.
func (s *Store) actOnSurvey(result surveyResult) error {
	switch result.decision {
	case mayBootstrap:
		return errs.Pass(s.bootstrap(result.incarnations), "bootstrap")
	case fleetExists:
		if err := s.startNewIncarnation(); err != nil {
			return errs.Pass(err, "join")
		}
		// In an open fleet this is usually a new machine, in a fixed fleet a node that lost its disk.
		logger := level.Warn(s.logger)
		if s.settings.OpenMembership {
			logger = level.Info(s.logger)
		}
		_ = logger.Log("msg", "folder empty but fleet exists, joining with a new ID", "id", s.id)
	case settingsDiffer:
		_ = level.Error(s.logger).Log("msg", "bootstrap members in the settings differ between nodes")
	}
	return nil
}

// isBootstrapMember reports whether the settings list this node among those that may bootstrap the fleet.
func (s *Store) isBootstrapMember() bool {
	return slices.ContainsFunc(s.settings.Members, func(m config.Member) bool { return m.ID == s.settings.Name })
}

// surveyFixed asks the members of a fixed fleet: those in the settings.
func (s *Store) surveyFixed(ctx context.Context, previous map[string]string) surveyResult {
	answers := s.askMembers(ctx)
	decision, incarnations := decideBootstrap(s.settings.Name, s.incarnation, s.digest(), len(s.settings.Members),
		answers, previous)
	if !s.isBootstrapMember() && decision != fleetExists {
		decision = undecided // it can only join an existing fleet
	}
	return surveyResult{decision, incarnations, len(answers)}
}

// surveyOpen asks all known nodes of an open fleet, where the members in the settings are only seeds. A seed may
// bootstrap the fleet with the other seeds; any other node waits until it learns that the fleet exists.
func (s *Store) surveyOpen(ctx context.Context, previous map[string]string) surveyResult {
	isSeed := s.isBootstrapMember()
	// A seed waits for all answers: one that lists it among the bootstrap members overrides the others.
	answers := s.askKnownNodes(ctx, func(a internalapi.DiscoverAnswer) bool { return !isSeed && a.Commit > 1 })
	decision, incarnations := s.decideOpenBootstrap(answers, previous)
	if !isSeed && decision == mayBootstrap {
		decision = undecided
	}
	return surveyResult{decision, incarnations, len(answers)}
}
