package convergence

import (
	"fmt"
	"strings"

	"github.com/filbertpier/filbertpier/config"
)

const (
	sectionCount     = 40
	routesPerSection = 20
)

// Document returns a document of about 40 sections of about 4 KB. Each
// generation changes a few routes of one section, as an operator's edit does.
func Document(generation int) []config.Section {
	out := []config.Section{{Name: "ranks", Owner: "operations", Raw: []byte(`{"section": "ranks", "owner": "operations",
  "ranks": [
    {"name": "urgent", "order": 0, "targetMs": 250, "worth": 10, "floor": 0.5},
    {"name": "bulk", "order": 1, "targetMs": 10000, "worth": 1, "floor": 0.1}],
  "retries": [{"name": "standard", "maxAttempts": 3, "budgetRatio": 0.1, "backoffMs": 5}]}`)}}
	for i := range sectionCount {
		// Section i changes in the generations that are i modulo the count.
		edit := (generation - i + sectionCount) / sectionCount
		out = append(out, section(i, edit))
	}
	return out
}

// DocumentBytes returns the size of a document's sections.
func DocumentBytes(sections []config.Section) int {
	total := 0
	for _, s := range sections {
		total += len(s.Raw)
	}
	return total
}

func section(i, edit int) config.Section {
	name := fmt.Sprintf("service-%02d", i)
	var b strings.Builder
	fmt.Fprintf(&b, "{\n  \"section\": %[1]q, \"owner\": \"%[1]s-team\",\n"+
		"  \"services\": [{\"name\": %[1]q, \"selector\": %[1]q, \"slots\": 6, \"connections\": 110}],\n  \"routes\": [\n", name)
	for r := range routesPerSection {
		timeout := 1000 + (i*7919+r*104729)%4000
		if r < 3 {
			timeout += edit
		}
		fmt.Fprintf(&b, "    // Requests of kind %d; owned by the team of %s.\n", (i*31+r*17)%97, name)
		fmt.Fprintf(&b, "    {\"name\": \"%[1]s-%[2]d\", \"pathPrefix\": \"/%[1]s/%[2]d\", \"service\": %[1]q, \"rank\": \"urgent\",\n"+
			"      \"idempotent\": true, \"timeoutMs\": %[3]d, \"retry\": \"standard\"},\n", name, r, timeout)
	}
	b.WriteString("  ],\n}\n")
	return config.Section{Name: name, Owner: name + "-team", Raw: []byte(b.String())}
}
