package main

// event is something that happens at a virtual time.
type event struct {
	at  int64 // nanoseconds since the start
	seq uint64
	run func()
}

func (e event) before(o event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }
