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

// boundDescriptors limits the length of nbio's connection tables. nbio's default is the number of file descriptors that
// the process may open. The lowest limit set in the process applies; a limit of 0 is ignored.
func boundDescriptors(limit int) {
	maxOpenFilesMu.Lock()
	defer maxOpenFilesMu.Unlock()
	if limit > 0 && limit < nbio.MaxOpenFiles {
		nbio.MaxOpenFiles = limit
	}
}

// maxOpenFilesMu guards nbio.MaxOpenFiles.
var maxOpenFilesMu sync.Mutex

// redirectLogs sends nbio's log lines to logger, the one of the newest server: nbio has a single logger per process.
func redirectLogs(logger log.Logger) {
	logTo.Store(&logger)
	logOnce.Do(func() { logging.SetLogger(nbioLog{}) })
}

var (
	logTo   atomic.Pointer[log.Logger] // of the newest server
	logOnce sync.Once                  // makes nbioLog nbio's logger
)

// nbioLog is nbio's logger, which writes to logTo.
type nbioLog struct{}

func (nbioLog) log(withLevel func(log.Logger) log.Logger, format string, v []any) {
	_ = withLevel(*logTo.Load()).Log("part", "nbio", "msg", fmt.Sprintf(format, v...))
}

// Debug implements nbio's logging.Logger.
func (n nbioLog) Debug(format string, v ...any) { n.log(level.Debug, format, v) }

// Info logs at level debug, as nbio's lines about its start and stop are of no use to operators.
func (n nbioLog) Info(format string, v ...any) { n.log(level.Debug, format, v) }

// Warn implements nbio's logging.Logger.
func (n nbioLog) Warn(format string, v ...any) { n.log(level.Warn, format, v) }

// Error implements nbio's logging.Logger.
func (n nbioLog) Error(format string, v ...any) { n.log(level.Error, format, v) }
