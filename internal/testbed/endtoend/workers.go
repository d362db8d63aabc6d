package endtoend

import (
	"encoding/json"
	"fmt"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/testbed/jobsworker"
	"crosstide/internal/testbed/journal"
)

// Shape describes one worker of a scenario.
type Shape struct {
	Name     string
	Zone     string
	Rack     string
	Labels   []string
	Capacity jobs.Resources
}

// newShapes returns the shapes of count workers. They alternate between two zones and two racks; every other pair has
// the label ssd, and the first two have GPUs. Every worker has a label of its zone.
func newShapes(count int) []Shape {
	var shapes []Shape
	for i := range count {
		s := Shape{Name: fmt.Sprintf("w%d", i+1), Zone: fmt.Sprintf("z%d", i%2+1), Rack: fmt.Sprintf("r%d", i%2+1),
			Capacity: jobs.Resources{MilliCPU: 4000, MemoryMB: 1024}}
		s.Labels = append(s.Labels, s.Zone+"-only")
		if i/2%2 == 0 {
			s.Labels = append(s.Labels, "ssd")
		}
		if i < 2 {
			s.Capacity.GPUs = 2
		}
		shapes = append(shapes, s)
	}
	return shapes
}

// settings returns the settings of the worker's process.
func (s Shape) settings(address string, controlAddrs []string, journalPath string) jobsworker.Settings {
	return jobsworker.Settings{Name: s.Name, Address: address, Service: Service, Zone: s.Zone, Rack: s.Rack,
		Labels: s.Labels, Capacity: s.Capacity, ControlAddrs: controlAddrs, Journal: journalPath}
}

// readEvents reads the journals of the workers in DIR/journal.
func readEvents(dir string) ([]jobsworker.Event, error) {
	var events []jobsworker.Event
	for line, err := range journal.Lines(dir) {
		if err != nil {
			return nil, errs.Pass(err, "journals")
		}
		var e jobsworker.Event
		if err := json.Unmarshal(line.Raw, &e); err != nil {
			return nil, errs.Wrap(err, errs.Damaged, "decode journal %s line %d", line.File, line.Number)
		}
		events = append(events, e)
	}
	return events, nil
}
