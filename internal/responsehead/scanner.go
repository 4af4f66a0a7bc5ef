package responsehead

// Scanner looks for lines that begin with a blank or a tab in the heads of responses, as
// they are read from a connection. net/http appends such a line to the value of the field
// before it, so that Validate cannot see it: "Content-Length: 4" after a blank would give
// no length and change another field. RFC 9112, section 5.2, lets a proxy reject such a
// response. A Scanner is used by one goroutine at a time.
type Scanner struct {
	// expecting is set until the end of the head of a final response.
	expecting bool
	// statusLine is set in the first line of a head, interim if its status begins with 1.
	statusLine, interim bool
	// length is the number of bytes of the current line so far, last the last of them.
	length int
	last   byte
	folded bool
}

// Expect begins the search with the next byte that is scanned, the first one of a head. It
// forgets what was found before.
func (s *Scanner) Expect() { *s = Scanner{expecting: true, statusLine: true} }

// Scan searches data, which follows that of the last call on the connection. Interim
// responses are searched too. What follows the head of the final response is ignored.
func (s *Scanner) Scan(data []byte) {
	for i := 0; s.expecting && i < len(data); i++ {
		if data[i] == '\n' {
			s.endLine()
			continue
		}
		s.scanByte(data[i])
	}
}

func (s *Scanner) scanByte(c byte) {
	blank := c == ' ' || c == '\t'
	switch {
	case s.statusLine && s.last == ' ' && !blank && !s.interim:
		// The status is the first word after the version.
		s.interim = c == '1'
		s.statusLine = false
	case !s.statusLine && s.length == 0 && blank:
		s.folded = true
	}
	s.length++
	s.last = c
}

func (s *Scanner) endLine() {
	empty := s.length == 0 || s.length == 1 && s.last == '\r'
	s.length, s.last = 0, 0
	switch {
	case !empty:
		s.statusLine = false
	case s.interim:
		s.statusLine, s.interim = true, false
	default:
		s.expecting = false
	}
}

// Err returns a *FoldedLineError if a head had a line that begins with a blank or a tab.
func (s *Scanner) Err() error {
	if s.folded {
		return &FoldedLineError{}
	}
	return nil
}
