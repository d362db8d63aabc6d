package store

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/state/command"
)

// operatorKeysInterval is the time between two attempts of installOperatorKeys.
const operatorKeysInterval = 200 * time.Millisecond

// installOperatorKeys is the goroutine that, on the leader, commits the operators' keys from its settings if the state
// has none yet. The first leader decides for the fleet: every replica checks signatures against the committed keys.
func (s *Store) installOperatorKeys(ctx context.Context) {
	if len(s.settings.OperatorKeys) == 0 {
		return
	}
	operators := map[string]string{}
	for _, k := range s.settings.OperatorKeys {
		operators[k.Name] = k.Key
	}
	for s.sleep(ctx, operatorKeysInterval) {
		s.mu.Lock()
		isLeader := s.leadership.term != 0 && s.leadership.leases.Active()
		areInstalled, areSame := len(s.live.Operators) > 0, maps.Equal(s.live.Operators, operators)
		s.mu.Unlock()
		if areInstalled {
			if !areSame {
				_ = level.Warn(s.logger).Log("msg", "operator_keys in the settings ignored, committed keys differ")
			}
			return
		}
		if !isLeader {
			continue
		}
		if _, _, err := s.Propose(ctx, &command.SetOperators{Operators: operators}); err != nil {
			_ = level.Debug(s.logger).Log("msg", "operator keys not installed", "err", err)
		}
	}
}
