// Package placement assigns services and client accounts to instances by rendezvous hashing.
package placement

// Functions that the daemon calls; all are pure and read an immutable Map:
//
//	func NewMap(instances []fleet.Instance) *Map    // instances that are alive and not leaving
//	func (m *Map) Carriers(s fleet.Service, count int) []fleet.Instance  // zone balanced
//	func (m *Map) Judge(s fleet.Service) (fleet.Instance, bool)
//	func (m *Map) Entries(s fleet.Service, a fleet.Account, near fleet.Zone, carriers, count int) []fleet.Instance
//	func (m *Map) HomeAndWitness(s fleet.Service, a fleet.Account, carriers int) (home, witness fleet.Instance, ok bool) // witness: another zone, same region
//	func (m *Map) Watchers(z fleet.Zone, count int) []fleet.Instance
