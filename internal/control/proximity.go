package control

// proximity is how near the holder of a version is to this node; a greater
// value is nearer.
type proximity uint8

const (
	unknownProximity proximity = iota
	otherRegion
	sameRegion
)
