package rpc

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

// boundDescriptors bounds nbio's tables of connections, which it makes as long as there may be descriptors.
func boundDescriptors(n int) {
	descriptorsMu.Lock()
	defer descriptorsMu.Unlock()
	if n > 0 && n < nbio.MaxOpenFiles {
		nbio.MaxOpenFiles = n
	}
}

var descriptorsMu sync.Mutex

// redirectLogs sends nbio's own lines, which have one logger per process, to the latest server's logger.
func redirectLogs(to log.Logger) {
	logTo.Store(&to)
	logOnce.Do(func() { logging.SetLogger(nbioLog{}) })
}

var (
	logTo   atomic.Pointer[log.Logger]
	logOnce sync.Once
)

type nbioLog struct{}

func (nbioLog) put(at func(log.Logger) log.Logger, format string, v []any) {
	_ = at(*logTo.Load()).Log("part", "nbio", "msg", fmt.Sprintf(format, v...))
}

// Debug logs a line of nbio at the level debug.
func (n nbioLog) Debug(format string, v ...any) { n.put(level.Debug, format, v) }

// Info logs at the level debug, as nbio's lines on its start and stop are of no use to operators.
func (n nbioLog) Info(format string, v ...any) { n.put(level.Debug, format, v) } // its start and stop lines

// Warn logs a line of nbio at the level warn.
func (n nbioLog) Warn(format string, v ...any) { n.put(level.Warn, format, v) }

// Error logs a line of nbio at the level error.
func (n nbioLog) Error(format string, v ...any) { n.put(level.Error, format, v) }
