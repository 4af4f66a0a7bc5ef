package member

// loss counts the remembered members of a zone and those of them that are dead
// or suspect.
type loss struct{ gone, all int }
