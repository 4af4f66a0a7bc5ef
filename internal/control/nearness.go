package control

// nearness tells how near the holder of a version is.
type nearness uint8

const (
	nearUnknown nearness = iota
	nearOtherRegion
	nearOwnRegion
)
