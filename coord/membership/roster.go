package membership

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/damaskcove/damaskcove/coord/fleet"
)

// MaxInstances bounds the instances of a roster, so that the record fits into a value of the store.
const MaxInstances = 4096

// ErrMalformed means that a roster or a message does not decode or is inconsistent.
var ErrMalformed = errors.New("roster malformed")

// EncodeRoster returns a roster in CBOR.
func EncodeRoster(r Roster) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode roster of generation %d: %w", r.Generation, err)
	}
	return data, nil
}

// DecodeRoster decodes a roster. It returns ErrMalformed when data is invalid.
func DecodeRoster(data []byte) (Roster, error) {
	var r Roster
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Roster{}, fmt.Errorf("%w: %d bytes: %w", ErrMalformed, len(data), err)
	}
	return r, r.check()
}

func (r Roster) check() error {
	if len(r.Instances) > MaxInstances {
		return fmt.Errorf("%w: %d instances, bound %d", ErrMalformed, len(r.Instances), MaxInstances)
	}
	for i := 1; i < len(r.Instances); i++ {
		if r.Instances[i-1].Ref.ID >= r.Instances[i].Ref.ID {
			return fmt.Errorf("%w: instance %v is out of order", ErrMalformed, r.Instances[i].Ref)
		}
	}
	return nil
}

// Find returns the instance with an ID.
func (r Roster) Find(id fleet.InstanceID) (fleet.Instance, bool) {
	i, ok := slices.BinarySearchFunc(r.Instances, id, func(e fleet.Instance, id fleet.InstanceID) int {
		return cmp.Compare(e.Ref.ID, id)
	})
	if !ok {
		return fleet.Instance{}, false
	}
	return r.Instances[i], true
}

// Has reports whether one incarnation of an instance is on the roster.
func (r Roster) Has(ref fleet.Ref) bool {
	i, ok := r.Find(ref.ID)
	return ok && i.Ref == ref
}

// digest returns the XOR of a hash of every instance and incarnation on the roster.
func (r Roster) digest() uint64 {
	var d uint64
	for _, i := range r.Instances {
		d ^= hashRef(i.Ref)
	}
	return d
}

// with returns the next generation with some instances added, which replace earlier incarnations, and others removed.
func (r Roster) with(added []fleet.Instance, removed []fleet.Ref) Roster {
	byID := make(map[fleet.InstanceID]fleet.Instance, len(r.Instances)+len(added))
	for _, i := range r.Instances {
		byID[i.Ref.ID] = i
	}
	for _, ref := range removed {
		if byID[ref.ID].Ref == ref {
			delete(byID, ref.ID)
		}
	}
	for _, i := range added {
		byID[i.Ref.ID] = i
	}
	next := Roster{Fleet: r.Fleet, Generation: r.Generation + 1, Instances: make([]fleet.Instance, 0, len(byID))}
	for _, i := range byID {
		next.Instances = append(next.Instances, i)
	}
	slices.SortFunc(next.Instances, func(a, b fleet.Instance) int { return cmp.Compare(a.Ref.ID, b.Ref.ID) })
	return next
}

// deltaTo returns the difference between r and a later roster.
func (r Roster) deltaTo(next Roster) Delta {
	d := Delta{Generation: next.Generation, Digest: next.digest()}
	for _, i := range next.Instances {
		if !r.Has(i.Ref) {
			d.Added = append(d.Added, i)
		}
	}
	for _, i := range r.Instances {
		if _, ok := next.Find(i.Ref.ID); !ok {
			d.Removed = append(d.Removed, i.Ref)
		}
	}
	return d
}
