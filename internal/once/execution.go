package once

// Execution is the single execution of the call with a given key. It is safe for
// concurrent use.
type Execution struct {
	key         Key
	fingerprint Fingerprint
	// done is closed after result has been set.
	done   chan struct{}
	result Result
}

// Done returns a channel that is closed when the result is final.
func (e *Execution) Done() <-chan struct{} { return e.done }

// Result returns the final result. It may be called only after the channel of
// Done has been closed.
func (e *Execution) Result() Result { return e.result }

func (e *Execution) finished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}
