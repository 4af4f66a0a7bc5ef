package ctl

import (
	"net/url"
	"strings"

	"github.com/filbertpier/filbertpier/internal/ctl/files"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"
)

// LoadNodeURLs returns the given URLs and those in the file at path, one a line,
// without duplicates. An empty path is ignored; # starts a comment. It returns a
// *files.Error, or a *refusal.Error if a URL is invalid or none is given.
func LoadNodeURLs(urls []string, path string) ([]string, error) {
	lines := urls
	if path != "" {
		raw, err := files.Read(path)
		if err != nil {
			return nil, err
		}
		lines = append(append([]string{}, urls...), strings.Split(string(raw), "\n")...)
	}
	var out []string
	seen := map[string]bool{}
	for _, line := range lines {
		text, _, _ := strings.Cut(line, "#")
		text = strings.TrimSuffix(strings.TrimSpace(text), "/")
		if text == "" || seen[text] {
			continue
		}
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, &refusal.Error{Reason: refusal.ReasonNodeURL, Detail: text + " is not the URL of a node", Remedy: "give http://IP:PORT of its administration listener"}
		}
		seen[text] = true
		out = append(out, text)
	}
	if len(out) == 0 {
		return nil, &refusal.Error{Reason: refusal.ReasonNodeURL, Detail: "no node URL is given", Remedy: "use --node or --nodes-file"}
	}
	return out, nil
}
