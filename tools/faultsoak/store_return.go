package main

import "time"

// storeReturn is a span of time in which the store was away or lost writes were not all
// written again. Its end is zero while it lasts.
type storeReturn struct{ begin, end time.Time }
