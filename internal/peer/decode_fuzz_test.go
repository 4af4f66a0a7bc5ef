package peer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/filbertpier/filbertpier/internal/message"
)

// Guards against input from a peer that makes Decode panic, return a message of
// another kind, or return an error of an undocumented type.
func FuzzDecode(f *testing.F) {
	f.Add("heartbeat", []byte(`{"from":{"vm":"a","boot":1},"current":"1-aa","platformAgeMs":-1}`))
	f.Add("tableDigests", []byte(`{"vm":"a","digests":[1,2]}`))
	f.Add("pullResponse", []byte(`{"vm":"a","sections":[{"frame":"AAAA"}]}`))
	f.Add("nonsense", []byte(`null`))
	f.Fuzz(func(t *testing.T, method string, params []byte) {
		raw := json.RawMessage(params)
		m, err := Decode(method, &raw)
		var unknown *message.UnknownKindError
		var malformed *MalformedMessageError
		if err == nil && string(m.Kind()) != method {
			t.Errorf("%q decoded as %q", method, m.Kind())
		}
		if err != nil && !errors.As(err, &unknown) && !errors.As(err, &malformed) {
			t.Errorf("Decode returned an error of type %T", err)
		}
	})
}

// Guards against frames that make the reader panic, or allocate as much memory
// as a false length prefix claims.
func FuzzReadObject(f *testing.F) {
	f.Add([]byte{2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{40, 0xb5, 0x2f, 0xfd})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := messageCodec{traffic: &trafficRecorder{}}
		var req jsonrpc2.Request
		if err := c.ReadObject(bufio.NewReader(bytes.NewReader(data)), &req); err == nil && len(data) < 3 {
			t.Errorf("truncated frame %v was accepted", data)
		}
	})
}
