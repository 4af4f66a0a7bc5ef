package intake

// Class groups the clients of a process by who depends on them. A more important class
// can use room that the others cannot take.
type Class uint8

// The classes, least important first.
const (
	// ClassCaller: callers, among them clients that nobody controls.
	ClassCaller Class = iota
	// ClassNode: other nodes, whose calls hold room at two nodes already.
	ClassNode
	// ClassOperator: readiness checks, metrics and administration.
	ClassOperator
)

// ceilings holds the share of each limit that a class may fill, by Class.
var ceilings = [...]float64{0.8, 0.9, 1}

// ceiling returns how much of a limit the class may fill.
func (c Class) ceiling(limit int64) int64 { return int64(ceilings[c] * float64(limit)) }

var classNames = [...]string{"caller", "node", "operator"}

// String returns the name used in logs and metrics.
func (c Class) String() string { return classNames[c] }
