package responsehead

import "testing"

// Guards against folded lines that are missed, at any splitting of the bytes that are
// read, and against taking a line of a body for one of a head.
func TestScannerFindsFoldedLinesOfHeadsOnly(t *testing.T) {
	cases := map[string]struct {
		text   string
		folded bool
	}{
		"sound head":                 {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n", false},
		"blank":                      {"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", true},
		"tab":                        {"HTTP/1.1 200 OK\r\nA: b\r\n\tC: d\r\n\r\n", true},
		"blank line of blanks":       {"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n", true},
		"first line after status":    {"HTTP/1.1 200 OK\r\n A: b\r\n\r\n", true},
		"line ends without CR":       {"HTTP/1.1 200 OK\nA: b\n C: d\n\n", true},
		"body":                       {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n C: d\r\n", false},
		"body after LF only":         {"HTTP/1.1 200 OK\nA: b\n\n C: d\r\n", false},
		"interim head":               {"HTTP/1.1 100 Continue\r\n A: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		"head after an interim one":  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n", true},
		"body after an interim head": {"HTTP/1.1 102 Processing\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\r\n C: d\r\n", false},
		"more blanks before status":  {"HTTP/1.1   100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n C: d\r\n\r\n", true},
		"no reason":                  {"HTTP/1.1 200\r\n\r\n C: d", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(c.text); size++ {
				var s Scanner
				s.Expect()
				for at := 0; at < len(c.text); at += size {
					s.Scan([]byte(c.text[at:min(at+size, len(c.text))]))
				}
				if err := s.Err(); (err != nil) != c.folded {
					t.Errorf("in pieces of %d bytes: error %v, want one: %t", size, err, c.folded)
				}
			}
		})
	}
}
