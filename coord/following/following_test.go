package following

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// zone is the instances of one zone, with the state that each reports.
type zone struct {
	now       time.Time
	machines  map[string]*Machine
	takeovers int // Times that an instance began to follow.
	keys      []string
	following map[string]bool
	refused   map[string]bool // By the store.
	silent    map[string]bool // Failed or partitioned off.
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

// settle lets every instance decide by the last reports of the others, for as long as takeovers
// by all of them one after the other may take.
func (z *zone) settle() {
	for range 2*len(z.keys) + 2 {
		z.now = z.now.Add(takeoverDelay / 2)
		for _, k := range z.keys {
			follows := !z.silent[k] && z.machines[k].ShouldFollow(z.now, View{Peers: z.peersOf(k), KnownAt: z.now, Schedule: NewSchedule(2 * time.Second)}) && !z.refused[k]
			if follows && !z.following[k] {
				z.takeovers++
			}
			z.following[k] = follows
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

// Instances fail, are refused by the store and recover, in any order.
func TestZoneKeepsItsFollowers(t *testing.T) {
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
			able, followers := 0, 0
			for _, k := range z.keys {
				if !z.silent[k] && !z.refused[k] {
					able++
				}
				if z.following[k] && !z.silent[k] {
					followers++
				}
			}
			if want := min(able, FollowersPerZone); followers != want {
				t.Fatalf("%d instances follow the store, want %d of %d that can: %+v", followers, want, able, z)
			}
		}
	})
}

func TestInstanceWithoutPeersFollows(t *testing.T) {
	m := New("z")
	if !m.ShouldFollow(time.Unix(1000, 0), View{}) || !m.IsPreferredFollower(nil) {
		t.Error("an instance without peers does not follow the store")
	}
}

// A follower fails in a large zone. Only the next instance by key takes over, at once, and not
// all of them.
func TestOneInstanceTakesOver(t *testing.T) {
	z := newZone(40)
	z.takeovers = 0
	z.silent["instances/edge-00"] = true
	z.settle()
	if z.takeovers != 1 || !z.following["instances/edge-02"] {
		t.Errorf("%d instances took over from one: %v", z.takeovers, z.following)
	}
}

// The store is unavailable, and no instance follows it.
func TestPreferredFollowersHaveTheLowestKeys(t *testing.T) {
	peers := []Peer{{Key: "a"}, {Key: "b"}, {Key: "d"}}
	for self, preferred := range map[string]bool{"0": true, "aa": true, "c": false, "e": false} {
		if got := New(self).IsPreferredFollower(peers); got != preferred {
			t.Errorf("%q preferred: %t, want %t", self, got, preferred)
		}
	}
}
