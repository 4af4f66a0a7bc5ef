package brokenhead

import "strconv"

// Statuses returns responses by what is wrong with their status. The head of each holds
// fields, which are lines with their ends.
func Statuses(fields, body string) map[string]string {
	out := map[string]string{}
	rest := fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	for _, status := range []string{"000", "001", "099", "-00", "+20", "101", "600", "999"} {
		out["status "+status] = "HTTP/1.1 " + status + " Status\r\n" + rest
	}
	out["status 000 without a body"] = "HTTP/1.1 000 Status\r\n" + fields + "Content-Length: 0\r\n\r\n"
	return out
}
