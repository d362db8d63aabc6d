package processes

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"crosstide/internal/errs"
)

// PeakMemoryMB returns the peak of the resident memory of the node's process (VmHWM). It fails if the process has
// ended.
func (n *Node) PeakMemoryMB() (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	if err != nil {
		return 0, errs.Wrap(err, errs.Unavailable, "read the status of %s", n.Name)
	}
	_, text, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.ParseFloat(strings.Fields(text + " none")[0], 64)
	return kilobytes / 1024, errs.Wrap(err, errs.Malformed, "VmHWM of %s", n.Name)
}

// OpenDescriptors returns the number of descriptors that the process has open. It fails if the process has ended.
func (n *Node) OpenDescriptors() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.PID()))
	return len(entries), errs.Wrap(err, errs.Unavailable, "descriptors of %s", n.Name)
}
