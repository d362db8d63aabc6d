package jobs

// Event is a change that Table.OnEvent is called for, after it was made.
type Event struct {
	Kind EventKind
	Name string // see EventKind
}

// EventKind is the kind of an event. It determines the meaning of Event.Name.
type EventKind uint8

// The kinds of events. A deleted job is reported as changed too.
const (
	JobChanged    EventKind = iota + 1 // a job was accepted, changed or deleted (its ID)
	WorkerChanged                      // the record of a worker was added or changed (its ID)
	WorkerGone                         // the record of a worker was deleted (its ID)
	ConfigChanged                      // another configuration, or other parties, are in force (no name)
	ZonesChanged                       // an evacuation was started or withdrawn (the zone)
)

func (t *Table) notify(kind EventKind, name string) {
	if t.OnEvent != nil {
		t.OnEvent(Event{Kind: kind, Name: name})
	}
}
