package config

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/damaskcove/damaskcove/internal/metastore"
)

// silentStore loses the response of the first watch, as an outage does: its connection stays silent.
type silentStore struct {
	metastore.Store
	watches int
	version metastore.Version
}

func (s *silentStore) Watch(ctx context.Context, _ string, after metastore.Version) (metastore.Value, error) {
	s.watches++
	if s.watches > 1 && s.version != after {
		return metastore.Value{Version: s.version}, nil
	}
	<-ctx.Done()
	return metastore.Value{}, ctx.Err()
}

// A watch whose response was lost was waited for, for a minute; changes made meanwhile were noticed only by a poll.
func TestChangeBehindLostWatchIsNoticedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const inForceEverywhere = 10 * time.Second // In CONTRIBUTING.md.
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		noticed := make(chan metastore.Version, 1)
		began := time.Now()
		go watchKey(ctx, &silentStore{version: 7}, "head", func(v metastore.Value) { noticed <- v.Version })
		if got := <-noticed; got != 7 {
			t.Errorf("version %d", got)
		}
		if took := time.Since(began); took > inForceEverywhere {
			t.Errorf("noticed after %s", took)
		}
	})
}
