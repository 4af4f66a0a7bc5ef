package uplink

// pieceQueue is a heap of pieces, the first to be sent on top. It implements
// heap.Interface.
type pieceQueue []*piece

func (q pieceQueue) Len() int           { return len(q) }
func (q pieceQueue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q pieceQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends a *piece.
func (q *pieceQueue) Push(x any) {
	p := x.(*piece)
	p.index = len(*q)
	*q = append(*q, p)
}

// Pop removes the last piece.
func (q *pieceQueue) Pop() any {
	last := len(*q) - 1
	p := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	p.index = -1
	return p
}
