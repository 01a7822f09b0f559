package refusals

import (
	"testing"

	"github.com/damaskcove/damaskcove/coord/result"
)

func TestPublishAddsTheGrowth(t *testing.T) {
	var a, b Publisher
	a.Publish(map[result.Code]uint64{result.CodePeerVersion: 2})
	b.Publish(map[result.Code]uint64{result.CodePeerVersion: 1})
	if a.Publish(map[result.Code]uint64{result.CodePeerVersion: 2}) {
		t.Fatal("growth reported for unchanged totals")
	}
	if !a.Publish(map[result.Code]uint64{result.CodePeerVersion: 5}) || counts.Get("2003").String() != "6" {
		t.Fatalf("counts %v", counts)
	}
}
