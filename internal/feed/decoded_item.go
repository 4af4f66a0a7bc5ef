package feed

// decodedItem is a change and the revision of the item that describes it.
type decodedItem struct {
	change   Change
	revision uint64
}
