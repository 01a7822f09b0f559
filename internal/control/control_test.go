package control

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/wire"
)

var errRejected = errors.New("rejected")

// recorder is a component that handles one kind of message and rejects those from the sender "bad".
type recorder struct {
	delivered []fleet.Ref
}

func (r *recorder) Kinds() []wire.Kind { return []wire.Kind{wire.KindClaim} }

func (r *recorder) Deliver(_ time.Time, from fleet.Ref, _ wire.Envelope) error {
	if from.ID == "bad" {
		return errRejected
	}
	r.delivered = append(r.delivered, from)
	return nil
}

func (r *recorder) Tick(time.Time) {}

func TestMessagesAreRoutedByKind(t *testing.T) {
	var failures []error
	l := NewLoop(func(_ fleet.Ref, _ wire.Kind, err error) { failures = append(failures, err) })
	component := &recorder{}
	l.Add(component)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		l.Run(ctx)
		close(ended)
	}()
	l.Deliver(fleet.Ref{ID: "good"}, wire.Envelope{Kind: wire.KindClaim})
	l.Deliver(fleet.Ref{ID: "bad"}, wire.Envelope{Kind: wire.KindClaim})
	l.Deliver(fleet.Ref{ID: "good"}, wire.Envelope{Kind: 999})
	l.Post(func(time.Time) { cancel() })
	<-ended
	if len(component.delivered) != 1 {
		t.Errorf("delivered %v, want one message", component.delivered)
	}
	if len(failures) != 2 || !errors.Is(failures[0], errRejected) || !errors.Is(failures[1], wire.ErrMalformed) {
		t.Errorf("failures %v, want one rejected by the component and one of unknown kind", failures)
	}
	if l.Post(func(time.Time) { t.Error("function ran after the loop had ended") }) {
		t.Error("Post reported success after the loop had ended")
	}
}
