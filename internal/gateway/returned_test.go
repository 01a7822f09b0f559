package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/platform"
)

// receiveAll decodes datagrams as they arrive at an instance and applies them.
func receiveAll(t *testing.T, c *control, datagrams [][]byte) {
	t.Helper()
	var r reassembler
	for _, data := range datagrams {
		if data[0] == datagramFragment {
			frag, err := decodeKind[fragment](data[1:])
			if err != nil {
				t.Fatal(err)
			}
			if data = r.add(frag); data == nil {
				continue
			}
		}
		b, err := decodeKind[changeBatch](data[1:])
		if err != nil {
			t.Fatal(err)
		}
		c.handleChanges(time.Now(), b)
	}
}

// Guards against requests to an endpoint that has left: it joined and was removed while an instance was cut off or paused,
// and what that instance forwards as it returns must not lead others past the removal.
func TestReturningInstanceLeadsNobodyPastARemoval(t *testing.T) {
	entry := []byte(`{"service":"orders","address":"192.0.2.1:80","zone":"a","version":"v1","capacity":4,"state":"ready","warmup_left":"0ms","sequence":4}`)
	put := func(id string, at platform.Revision) platform.Item {
		return platform.Item{Key: "servers/" + id, Value: entry, Revision: at}
	}
	const before, joined, removed, returned = 5, 10, 35, 40
	for name, tc := range map[string]struct {
		others int // Endpoints that joined during the cut and stay.
		lost   int // The datagram that is lost, from the last one; 0: none.
		known  platform.Revision
	}{
		"one datagram":                         {others: 0, known: joined},
		"the receiver is in the middle":        {others: 1, known: joined + 5},
		"several datagrams":                    {others: 20, known: joined},
		"several datagrams, the last one lost": {others: 20, known: joined, lost: 1},
		"several datagrams, the first lost":    {others: 20, known: joined + 3, lost: -1},
		"a receiver that lacks nothing yet":    {others: 20, known: before},
	} {
		newInstance := func() *control {
			settings := DefaultSettings()
			c := newControl(&settings, slog.New(slog.DiscardHandler), nil)
			c.applyFullRead(time.Now(), []platform.Item{put("i-stays", 3)}, before, before)
			return c
		}
		returning, receiver := newInstance(), newInstance()
		all := []platform.Item{put("i-left", joined)}
		read := []platform.Item{put("i-stays", 3)}
		for k := range tc.others {
			all = append(all, put(fmt.Sprint("i-other-", k), platform.Revision(joined+1+k)))
			read = append(read, all[k+1])
		}
		all = append(all, platform.Item{Key: "servers/i-left", Revision: removed, Deleted: true})
		upTo := func(at platform.Revision) (items []platform.Item) {
			for _, item := range all {
				if item.Revision <= at {
					items = append(items, item)
				}
			}
			return items
		}
		receiver.handleChanges(time.Now(), newChangeBatch(1, upTo(tc.known), before, tc.known))

		returning.applyFullRead(time.Now(), read, returned, returned)
		var datagrams [][]byte
		for _, b := range returning.history.after(before) {
			parts, err := b.datagrams()
			if err != nil {
				t.Fatal(err)
			}
			datagrams = append(datagrams, parts...)
		}
		switch {
		case tc.lost > 0:
			datagrams = datagrams[:len(datagrams)-tc.lost]
		case tc.lost < 0:
			datagrams = datagrams[-tc.lost:]
		}
		receiveAll(t, receiver, datagrams)
		if at := receiver.replica.Revision(); at >= removed && receiver.registry.entries["servers/i-left"] != nil {
			t.Errorf("%s: at revision %d the instance uses an endpoint that was removed at %d", name, at, removed)
		}
		receiver.handleChanges(time.Now(), newChangeBatch(2, upTo(returned), tc.known, returned))
		if receiver.registry.entries["servers/i-left"] != nil || len(receiver.registry.entries) != tc.others+1 {
			t.Errorf("%s: %d endpoints are in use after the other follower's batch, want %d", name, len(receiver.registry.entries), tc.others+1)
		}
	}
}

// Guards against requests to an endpoint that has left while the store turned other instances away: it was kept for the grace
// period of an outage, by an instance that knew that there was none.
func TestRemovalIsNotTakenForAnOutageThatOthersHave(t *testing.T) {
	entry := []byte(`{"service":"orders","address":"192.0.2.1:80","zone":"a","version":"v1","capacity":4,"state":"ready","warmup_left":"0ms","sequence":4}`)
	settings := DefaultSettings()
	for name, tc := range map[string]struct {
		age  time.Duration // Of the instance's knowledge of the store.
		own  bool          // Its own call has failed.
		kept bool
	}{
		"others are turned away":   {settings.Promises.ApplyWithin / 2, false, false},
		"this instance is as well": {settings.Promises.ApplyWithin / 2, true, true},
		"outage of the store":      {4 * time.Second, false, true},
	} {
		now := time.Now()
		c := newControl(&settings, slog.New(slog.DiscardHandler), nil)
		c.applyFullRead(now, []platform.Item{{Key: "servers/i-left", Value: entry, Revision: 3}}, 5, 5)
		c.shouldFollow.Store(false)
		c.confirmFresh(now, now.Add(-tc.age), 5)
		c.handleMessage(now, &message{From: c.peer + 1, Revision: 5, Following: true, StoreFailing: true})
		if tc.own {
			c.lastStoreError = now
		}
		c.applyFullRead(now, nil, 8, 8)
		if kept := c.registry.entries["servers/i-left"] != nil; kept != tc.kept {
			t.Errorf("%s: the endpoint is kept: %t", name, kept)
		}
	}
}
