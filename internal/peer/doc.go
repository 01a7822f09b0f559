// Package peer maintains the links between instances: WebSocket connections that carry
// CBOR envelopes.
//
// Guarantees:
//   - Each direction between two instances has its own connection, dialed by the sender on
//     first use and closed after IdleTimeout without a message.
//   - Send never blocks. Messages on a link arrive in order or are dropped. Of each kind
//     that carries state, the queue keeps a small number of messages and drops the oldest beyond it.
//   - A link starts with a Hello that names the fleet and the incarnation of the sender. With
//     TLS, the certificate's common name must be the instance's ID. A peer of another fleet,
//     or one whose identity cannot be verified, is refused and counted.
//   - Plaintext is allowed on loopback addresses only.
//   - A message that does not decode is counted and dropped; the link stays open.
package peer
