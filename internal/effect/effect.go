package effect

// Effect is one of the types of this package.
type Effect interface{ effect() }
