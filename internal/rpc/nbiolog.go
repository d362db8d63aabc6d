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

// boundDescriptors bounds nbio's tables of connections, which it makes as long as the process may have descriptors.
func boundDescriptors(n int) {
	maxOpenFilesMu.Lock()
	defer maxOpenFilesMu.Unlock()
	if n > 0 && n < nbio.MaxOpenFiles {
		nbio.MaxOpenFiles = n
	}
}

// maxOpenFilesMu guards nbio.MaxOpenFiles.
var maxOpenFilesMu sync.Mutex

// redirectLogs sends nbio's own log lines, which have one logger per process, to the latest server's logger.
func redirectLogs(to log.Logger) {
	logTo.Store(&to)
	logOnce.Do(func() { logging.SetLogger(nbioLog{}) })
}

var (
	logTo   atomic.Pointer[log.Logger]
	logOnce sync.Once
)

// nbioLog is nbio's logger; its lines are redirected to logTo.
type nbioLog struct{}

func (nbioLog) log(at func(log.Logger) log.Logger, format string, v []any) {
	_ = at(*logTo.Load()).Log("part", "nbio", "msg", fmt.Sprintf(format, v...))
}

// Debug logs a line of nbio at the level debug.
func (n nbioLog) Debug(format string, v ...any) { n.log(level.Debug, format, v) }

// Info logs at the level debug, as nbio's lines on its start and stop are of no use to operators.
func (n nbioLog) Info(format string, v ...any) { n.log(level.Debug, format, v) }

// Warn logs a line of nbio at the level warn.
func (n nbioLog) Warn(format string, v ...any) { n.log(level.Warn, format, v) }

// Error logs a line of nbio at the level error.
func (n nbioLog) Error(format string, v ...any) { n.log(level.Error, format, v) }
