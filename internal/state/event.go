package state

// Event describes a change of the state. State.OnEvent receives it after the change was made.
type Event struct {
	Kind   EventKind
	Ref    TaskRef
	Handle *Handle
	Name   string // job key, or name of the worker, role, zone or account
}

// EventKind is the kind of an event. It determines which fields of the event are set.
type EventKind uint8

// The kinds of events, with the fields they set.
const (
	EventTaskDue          EventKind = iota // a task became due (Ref)
	EventHandleCreated                     // a handle was recorded (Handle, Ref)
	EventHandleReleased                    // a handle was released (Handle, Ref)
	EventWorkerChanged                     // a worker was added or changed (Name)
	EventWorkerRetired                     // a worker was removed (Name)
	EventJobSubmitted                      // a job entered the inbox (Name)
	EventJobStopping                       // a job's runs are to be stopped (Name)
	EventRoleChanged                       // a role was granted or released (Name)
	EventPlacementChanged                  // the bundle, an evacuation (Name) or labels in a zone changed
	EventAccountChanged                    // an account was opened or topped up (Name)
)

// NotifyChange calls OnEvent for a change that package command made directly in a record.
func (s *State) NotifyChange(kind EventKind, name string) { s.notify(Event{Kind: kind, Name: name}) }

func (s *State) notify(event Event) {
	if s.OnEvent != nil {
		s.OnEvent(event)
	}
}
