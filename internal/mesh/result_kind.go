package mesh

// ResultKind classifies how an attempt ended.
type ResultKind uint8

const (
	// ResultAnswered: the upstream sent a response, whatever its status, or the
	// caller's node rejected an invalid call with a 4xx status.
	ResultAnswered ResultKind = iota
	// ResultNotRun: the call did not run and will not.
	ResultNotRun
	// ResultBroken: the call may have run; there is no usable response.
	ResultBroken
)

var resultKindNames = [...]string{"answered", "not-run", "broken"}

// String returns the name that is used in logs, metrics and headers.
func (k ResultKind) String() string { return resultKindNames[k] }

func parseResultKind(text string) (ResultKind, bool) {
	for k, name := range resultKindNames {
		if name == text {
			return ResultKind(k), true
		}
	}
	return 0, false
}
