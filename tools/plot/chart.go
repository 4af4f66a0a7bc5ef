package main

// chart selects the columns and rows of the CSV file to draw.
type chart struct {
	title  string
	x      string
	y      string
	series []string
	// filter maps a column to the value that a row must have.
	filter map[string]string
}
