package peers

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/filbertpier/filbertpier/internal/replica"
	"github.com/filbertpier/filbertpier/internal/revision"
)

// Guards against a request whose era gets lost between two nodes, and against answering
// nodes of earlier builds, which know of no eras, with a complete list at each poll.
func TestRequestsCarryTheEra(t *testing.T) {
	for _, after := range []revision.Revision{{}, {Number: 5}, {Era: 3, Number: 5}} {
		raw, err := json.Marshal(newFetchParams(replica.FollowRequest{AfterRevision: after, Confirmation: 9, Wait: time.Second}))
		if err != nil {
			t.Fatal(err)
		}
		var p fetchParams
		if err := json.Unmarshal(raw, &p); err != nil {
			t.Fatal(err)
		}
		if got := p.followRequest(8); got.AfterRevision != after || got.Confirmation != 9 || got.Wait != time.Second {
			t.Errorf("%s was read as %+v, want revision %v", raw, got, after)
		}
	}
	var earlier fetchParams
	if err := json.Unmarshal([]byte(`{"after":5,"waitMs":100}`), &earlier); err != nil {
		t.Fatal(err)
	}
	if got := earlier.followRequest(8).AfterRevision; got != (revision.Revision{Era: 8, Number: 5}) {
		t.Errorf("the request of an earlier build asks for changes after %v, want 8.5", got)
	}
}

// Guards against items or a page whose era gets lost between two nodes.
func TestPagesCarryTheEra(t *testing.T) {
	var page wirePage
	if err := json.Unmarshal([]byte(`{"at":7,"era":2,"complete":true,"items":[{"key":"a","revision":6}]}`), &page); err != nil {
		t.Fatal(err)
	}
	var d decompressor
	got, err := d.decompressPage(&page)
	if err != nil || got.Revision.String() != "2.7" || got.Items[0].Revision.String() != "2.6" || !got.Complete {
		t.Errorf("got %+v and error %v", got, err)
	}
}
