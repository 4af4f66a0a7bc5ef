package config

import (
	"bytes"
	"testing"
)

// Guards against parsing that modifies the text of a section in place. Nodes
// forward the text to peers, which verify its digest.
func TestCompileDoesNotChangeSections(t *testing.T) {
	raw := []byte("{\n  // A comment.\n  \"section\": \"a\", \"owner\": \"team\",\n  \"ranks\": [{\"name\": \"urgent\", \"order\": 0, \"targetMs\": 250, \"worth\": 1, \"floor\": 0.1}],\n}\n")
	before := bytes.Clone(raw)
	if _, err := Compile([]Section{{Name: "a", Owner: "team", Raw: raw}}); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(raw, before) {
		t.Errorf("Compile changed the text to %q", raw)
	}
}
