package refusals

import (
	"testing"

	"github.com/damaskcove/damaskcove/coord/result"
)

func TestReportAddsTheGrowth(t *testing.T) {
	var a, b Tally
	a.Report(map[result.Code]uint64{result.CodePeerVersion: 2})
	b.Report(map[result.Code]uint64{result.CodePeerVersion: 1})
	if a.Report(map[result.Code]uint64{result.CodePeerVersion: 2}) {
		t.Fatal("growth where there is none")
	}
	if !a.Report(map[result.Code]uint64{result.CodePeerVersion: 5}) || counts.Get("2003").String() != "6" {
		t.Fatalf("counts %v", counts)
	}
}
