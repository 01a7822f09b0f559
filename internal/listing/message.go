package listing

import (
	"maps"
	"reflect"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
)

// MessageKind is the kind of a Message.
type MessageKind uint8

// Kinds of messages.
const (
	MessageCurrent MessageKind = iota + 1 // Announces the sender's version; nothing changed.
	MessageChange                         // The changes from Base to Version.
	MessageFull                           // The full list at Version.
	MessageRequest                        // Requests the full list if it is newer than Version.
)

// Message is a message between instances about the list.
type Message struct {
	Kind             MessageKind                        `cbor:"1,keyasint"`
	Version          uint64                             `cbor:"2,keyasint"`
	Base             uint64                             `cbor:"3,keyasint,omitempty"`
	Upstreams        map[fleet.Service][]fleet.Upstream `cbor:"4,keyasint,omitempty"` // All upstreams of each changed service.
	RemovedServices  []fleet.Service                    `cbor:"5,keyasint,omitempty"`
	Instances        []fleet.Instance                   `cbor:"6,keyasint,omitempty"` // Changed or added instances.
	RemovedInstances []fleet.Ref                        `cbor:"7,keyasint,omitempty"`
}

// fullMessage returns the message with the full list.
func fullMessage(l *metastore.Listing) Message {
	return Message{Kind: MessageFull, Version: l.Version, Upstreams: l.Upstreams, Instances: l.Instances}
}

// changeMessage returns the message with the changes from one list to a newer one.
func changeMessage(from, to *metastore.Listing) Message {
	m := Message{Kind: MessageChange, Base: from.Version, Version: to.Version}
	for service, upstreams := range to.Upstreams {
		before, ok := from.Upstreams[service]
		if ok && slices.Equal(before, upstreams) {
			continue
		}
		if m.Upstreams == nil {
			m.Upstreams = make(map[fleet.Service][]fleet.Upstream)
		}
		m.Upstreams[service] = upstreams
	}
	for service := range from.Upstreams {
		if _, ok := to.Upstreams[service]; !ok {
			m.RemovedServices = append(m.RemovedServices, service)
		}
	}
	slices.Sort(m.RemovedServices)
	m.Instances, m.RemovedInstances = changedInstances(from.Instances, to.Instances)
	return m
}

func changedInstances(from, to []fleet.Instance) (changed []fleet.Instance, removed []fleet.Ref) {
	before := make(map[fleet.Ref]fleet.Instance, len(from))
	for _, instance := range from {
		before[instance.Ref] = instance
	}
	for _, instance := range to {
		if !reflect.DeepEqual(before[instance.Ref], instance) {
			changed = append(changed, instance)
		}
		delete(before, instance.Ref)
	}
	for _, instance := range from {
		if _, gone := before[instance.Ref]; gone {
			removed = append(removed, instance.Ref)
		}
	}
	return changed, removed
}

// listing returns the list in a MessageFull.
func (m Message) listing() *metastore.Listing {
	upstreams := m.Upstreams
	if upstreams == nil {
		upstreams = make(map[fleet.Service][]fleet.Upstream)
	}
	return &metastore.Listing{Version: m.Version, Upstreams: upstreams, Instances: m.Instances}
}

// apply returns the list that results from a MessageChange. It doesn't modify before.
func (m Message) apply(before *metastore.Listing) *metastore.Listing {
	after := &metastore.Listing{Version: m.Version, Upstreams: maps.Clone(before.Upstreams)}
	if after.Upstreams == nil {
		after.Upstreams = make(map[fleet.Service][]fleet.Upstream)
	}
	for _, service := range m.RemovedServices {
		delete(after.Upstreams, service)
	}
	maps.Copy(after.Upstreams, m.Upstreams)
	after.Instances = m.applyInstances(before.Instances)
	return after
}

// clean drops the unusable entries and returns their number. An unusable instance counts as
// removed.
func (m *Message) clean() int {
	cleaned, dropped := clean(&metastore.Listing{Upstreams: m.Upstreams, Instances: m.Instances})
	kept := make(map[fleet.Ref]bool, len(cleaned.Instances))
	for _, instance := range cleaned.Instances {
		kept[instance.Ref] = true
	}
	for _, instance := range m.Instances {
		if !kept[instance.Ref] {
			m.RemovedInstances = append(m.RemovedInstances, instance.Ref)
		}
	}
	m.Upstreams, m.Instances = cleaned.Upstreams, cleaned.Instances
	return dropped
}

func (m Message) applyInstances(before []fleet.Instance) []fleet.Instance {
	replaced := make(map[fleet.Ref]bool, len(m.Instances)+len(m.RemovedInstances))
	for _, ref := range m.RemovedInstances {
		replaced[ref] = true
	}
	for _, instance := range m.Instances {
		replaced[instance.Ref] = true
	}
	var after []fleet.Instance
	for _, instance := range before {
		if !replaced[instance.Ref] {
			after = append(after, instance)
		}
	}
	return append(after, m.Instances...)
}
