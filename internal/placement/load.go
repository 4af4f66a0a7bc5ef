package placement

// Load is what an instance's node reports with each answer.
type Load struct {
	Running, Waiting, Slots int
}
