package uplink

// chunkQueue is a heap of chunks with the next one to send on top. It
// implements heap.Interface.
type chunkQueue []*chunk

func (q chunkQueue) Len() int           { return len(q) }
func (q chunkQueue) Less(i, j int) bool { return q[i].before(q[j]) }

func (q chunkQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push appends a *chunk.
func (q *chunkQueue) Push(x any) {
	c := x.(*chunk)
	c.index = len(*q)
	*q = append(*q, c)
}

// Pop removes and returns the last chunk.
func (q *chunkQueue) Pop() any {
	last := len(*q) - 1
	c := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	c.index = -1
	return c
}
