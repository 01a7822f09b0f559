package listing

import (
	"maps"
	"reflect"
	"slices"

	"github.com/damaskcove/damaskcove/coord/fleet"
	"github.com/damaskcove/damaskcove/internal/metastore"
)

// MessageKind tells the messages apart.
type MessageKind uint8

// Messages between instances.
const (
	MessageCurrent MessageKind = iota + 1 // Version is current; nothing changed.
	MessageChange                         // What changed from Base to Version.
	MessageFull                           // The whole list at Version.
	MessageRequest                        // The sender holds Version and wants the whole list, if there is a later one.
)

// Message is one message about the list.
type Message struct {
	Kind             MessageKind                        `cbor:"1,keyasint"`
	Version          uint64                             `cbor:"2,keyasint"`
	Base             uint64                             `cbor:"3,keyasint,omitempty"`
	Upstreams        map[fleet.Service][]fleet.Upstream `cbor:"4,keyasint,omitempty"` // Of each service that changed, whole.
	RemovedServices  []fleet.Service                    `cbor:"5,keyasint,omitempty"`
	Instances        []fleet.Instance                   `cbor:"6,keyasint,omitempty"` // Those that changed.
	RemovedInstances []fleet.Ref                        `cbor:"7,keyasint,omitempty"`
}

// whole returns the message that carries a whole list.
func whole(l *metastore.Listing) Message {
	return Message{Kind: MessageFull, Version: l.Version, Upstreams: l.Upstreams, Instances: l.Instances}
}

// change returns the message that leads from one list to a later one.
func change(from, to *metastore.Listing) Message {
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

// list returns the list of a MessageFull.
func (m Message) list() *metastore.Listing {
	upstreams := m.Upstreams
	if upstreams == nil {
		upstreams = make(map[fleet.Service][]fleet.Upstream)
	}
	return &metastore.Listing{Version: m.Version, Upstreams: upstreams, Instances: m.Instances}
}

// apply returns the list after a MessageChange; the list before is not changed.
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

// clean drops the entries that cannot be used and returns their number. An instance that
// cannot be used counts as removed.
func (m *Message) clean() int {
	parts, dropped := clean(&metastore.Listing{Upstreams: m.Upstreams, Instances: m.Instances})
	kept := make(map[fleet.Ref]bool, len(parts.Instances))
	for _, instance := range parts.Instances {
		kept[instance.Ref] = true
	}
	for _, instance := range m.Instances {
		if !kept[instance.Ref] {
			m.RemovedInstances = append(m.RemovedInstances, instance.Ref)
		}
	}
	m.Upstreams, m.Instances = parts.Upstreams, parts.Instances
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
