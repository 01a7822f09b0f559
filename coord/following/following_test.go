package following

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// zone is the instances of one zone, each with what it says of itself.
type zone struct {
	now       time.Time
	machines  map[string]*Machine
	turns     int // Times that an instance began to follow.
	keys      []string
	following map[string]bool
	refused   map[string]bool // By the store.
	silent    map[string]bool // Dead or cut off.
}

func (z *zone) peersOf(self string) []Peer {
	var peers []Peer
	for _, k := range z.keys {
		if k != self && !z.silent[k] {
			peers = append(peers, Peer{Key: k, Following: z.following[k]})
		}
	}
	return peers
}

// settle lets every instance decide by what the others said last, for as long as all of them
// in turn may take.
func (z *zone) settle() {
	for range 2*len(z.keys) + 2 {
		z.now = z.now.Add(turnTime / 2)
		for _, k := range z.keys {
			on := !z.silent[k] && z.machines[k].ShouldFollow(z.now, z.peersOf(k)) && !z.refused[k]
			if on && !z.following[k] {
				z.turns++
			}
			z.following[k] = on
		}
	}
}

func newZone(instances int) *zone {
	z := &zone{now: time.Unix(1000, 0), machines: map[string]*Machine{}, following: map[string]bool{}, refused: map[string]bool{}, silent: map[string]bool{}}
	for i := range instances {
		k := fmt.Sprintf("instances/edge-%02d", i)
		z.keys = append(z.keys, k)
		z.machines[k] = New(k)
	}
	z.settle()
	return z
}

// The load that it answers: instances die, are refused by the store and come back, in any order.
func TestAZoneHasItsFollowersWhateverHappensToTheOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(rapid.IntRange(1, 9).Draw(t, "instances"))
		for range rapid.IntRange(1, 20).Draw(t, "events") {
			k := rapid.SampledFrom(z.keys).Draw(t, "instance")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				z.silent[k] = true
			case 1:
				z.silent[k] = false
			case 2:
				z.refused[k] = true
			case 3:
				z.refused[k] = false
			}
			z.settle()
			able, follow := 0, 0
			for _, k := range z.keys {
				if !z.silent[k] && !z.refused[k] {
					able++
				}
				if z.following[k] && !z.silent[k] {
					follow++
				}
			}
			if want := min(able, FollowersPerZone); follow != want {
				t.Fatalf("%d instances follow the store, want %d of %d that can: %+v", follow, want, able, z)
			}
		}
	})
}

func TestOneThatHearsNobodyFollowsItself(t *testing.T) {
	m := New("z")
	if !m.ShouldFollow(time.Unix(1000, 0), nil) || !m.IsPreferredFollower(nil) {
		t.Error("an instance alone does not follow the store")
	}
}

// The load that it answers: a follower dies in a large zone. The next in line takes over at
// once, and not everybody at once.
func TestOneTakesOverFromOneThatDied(t *testing.T) {
	z := newZone(40)
	z.turns = 0
	z.silent["instances/edge-00"] = true
	z.settle()
	if z.turns != 1 || !z.following["instances/edge-02"] {
		t.Errorf("%d instances took over from one: %v", z.turns, z.following)
	}
}

// The load that it answers: the store is away, and nobody follows it.
func TestTheFirstAreInLineWhoeverFollows(t *testing.T) {
	peers := []Peer{{Key: "a"}, {Key: "b"}, {Key: "d"}}
	for self, inLine := range map[string]bool{"0": true, "aa": true, "c": false, "e": false} {
		if got := New(self).IsPreferredFollower(peers); got != inLine {
			t.Errorf("%q in line: %t, want %t", self, got, inLine)
		}
	}
}
