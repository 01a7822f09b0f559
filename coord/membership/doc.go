// Package membership keeps the roster of instances and tells the dead from the unreachable.
//
// Every instance exchanges heartbeats with its neighbours in an overlay: its ring
// neighbours in its own zone and in three rings over the whole fleet. The overlay follows from the
// roster alone, so that every instance knows every other's neighbours, and its degree
// does not grow with the fleet. A neighbour that hears nothing says so in a vote; votes,
// joins and departures are facts that spread over the overlay as deltas and merge in any order.
//
// Guarantees of a Machine:
//
//   - an instance is dead in its view only when more than half of that instance's neighbours, by the
//     roster, vote that they do not hear it, or when it said itself that it is gone;
//   - the generation of the roster never falls;
//   - a roster is written only by compare-and-swap from the generation it was derived
//     from, so that an instance that was paused changes nothing with what it knew before;
//   - messages of another fleet and of unknown incarnations change nothing and are counted;
//   - an instance that was taken off the roster returns only as a higher incarnation.
package membership
