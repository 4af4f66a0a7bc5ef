package member

// zoneAvailability counts the members of a zone, dead ones included, and those
// of them that are dead or suspect.
type zoneAvailability struct{ unavailable, total int }
