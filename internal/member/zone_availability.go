package member

// zoneAvailability counts the remembered members of a zone and those of them that are dead
// or suspect.
type zoneAvailability struct{ unavailable, total int }
