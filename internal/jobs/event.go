package jobs

// Event describes a change of the table. It is passed to Table.OnEvent after the change.
type Event struct {
	Kind EventKind
	Name string // the job's ID, worker's ID or zone, depending on Kind
}

// EventKind is the kind of an event. It determines the meaning of Event.Name.
type EventKind uint8

// The kinds of events.
const (
	JobChanged    EventKind = iota + 1 // a job was accepted, changed or deleted; Name is its ID
	WorkerChanged                      // the record of a worker was added or changed; Name is its ID
	WorkerGone                         // the record of a worker was deleted; Name is its ID
	ConfigChanged                      // the configuration or the parties were replaced; no Name
	ZonesChanged                       // an evacuation was started or ended; Name is the zone
)

func (t *Table) notify(kind EventKind, name string) {
	if t.OnEvent != nil {
		t.OnEvent(Event{Kind: kind, Name: name})
	}
}
