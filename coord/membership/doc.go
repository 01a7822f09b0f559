// Package membership maintains the roster of instances and distinguishes dead instances from unreachable ones.
//
// Every instance exchanges heartbeats with its neighbours in an overlay: its ring
// neighbours in its own zone and in three rings over the whole fleet. The overlay is computed from
// the roster alone, so that every instance can derive the neighbours of any other, and its degree
// does not grow with the fleet. An instance that receives no heartbeats from a neighbour votes it
// unreachable. Votes, joins and departures are facts: they are gossiped over the overlay as deltas,
// carry a version and can be merged in any order.
//
// Guarantees of a Machine:
//
//   - an instance is dead in its view only when more than half of that instance's neighbours, by the
//     roster, vote it unreachable, or when it announced that it has stopped;
//   - the generation of the roster never decreases;
//   - a roster is written only by compare-and-swap from the generation it was derived
//     from, so that an instance that resumes after a pause cannot overwrite newer rosters;
//   - messages of another fleet and of unknown incarnations change nothing and are counted;
//   - an instance that was removed from the roster rejoins only as a higher incarnation.
package membership
