package effect

// Effect is a side effect requested by the control logic: Send, ReadPlatform,
// StartTimer or Log.
type Effect interface{ effect() }
