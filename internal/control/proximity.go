package control

// proximity tells how near the holder of a version is.
type proximity uint8

const (
	unknownProximity proximity = iota
	otherRegion
	sameRegion
)
