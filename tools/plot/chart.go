package main

// chart tells what to draw.
type chart struct {
	title  string
	x      string
	y      string
	series []string
	where  map[string]string
}
