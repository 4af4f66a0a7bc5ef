package brokenhead

import (
	"fmt"
	"maps"
	"strconv"
)

// All returns the responses of Statuses and of FieldNames.
func All(fields, body string) map[string]string {
	out := Statuses(fields, body)
	maps.Copy(out, FieldNames(fields, body))
	return out
}

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

// FieldNames returns responses by what is wrong with the name of a field. The head of
// each holds fields, which are lines with their ends.
func FieldNames(fields, body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + fields
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	out := map[string]string{
		"blank after Content-Length":      head + "Content-Length : " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"blank after Transfer-Encoding":   head + "Transfer-Encoding : chunked\r\nContent-Length: " + strconv.Itoa(len(chunk)) + "\r\n\r\n" + chunk,
		"blank before Content-Length":     head + " Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
		"blank before the first name":     "HTTP/1.1 200 OK\r\n X: 1\r\n" + fields + length + body,
		"blank in a name, without a body": head + "X Y: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for what, name := range map[string]string{
		"blank in a name": "X Y", "blank after a name": "X ", "blank before a name": " X", "tab before a name": "\tX",
		"tab in a name": "X\tY", "NUL in a name": "X\x00Y",
		"control byte in a name": "X\x01Y", "carriage return in a name": "X\rY", "DEL in a name": "X\x7fY",
	} {
		out[what] = head + name + ": 1\r\n" + length + body
	}
	return out
}
