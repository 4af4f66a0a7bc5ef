package fleet

// NotReadyError reports a node that did not become ready, with its log.
type NotReadyError struct {
	VM  string
	Log string
}

// Error includes the whole log of the node.
func (e *NotReadyError) Error() string {
	return "node " + e.VM + " did not become ready; its log:\n" + e.Log
}
