// Package peer keeps the links between instances: WebSocket connections that carry
// CBOR envelopes.
//
// Guarantees:
//   - Each direction of a pair of instances is a connection of its own, dialled by
//     the sender on first use and closed after IdleTimeout without a message.
//   - Send never blocks. Messages to one instance arrive in order or not at all;
//     each kind of state has a small bound in the queue, past which its oldest
//     message is superseded by the newest.
//   - A link starts with a Hello that names the fleet and the life of the sender. With
//     TLS, the certificate's common name must be the instance's ID. A peer of another
//     fleet, or one that cannot prove itself, is refused and counted.
//   - Plaintext is taken on loopback addresses only.
//   - A message that does not decode closes nothing: it is counted and dropped.
package peer
