@0xb3d7c1a09f6e2d41;
# Framing between daemons. Payloads are postcard encodings of typed messages: the same
# definitions stand in the replicated log, so that each message is written down once.

interface Gate {
  # What a connection offers before the peer has proved that it knows the cluster key.
  challenge @0 () -> (nonce :Data);
  prove @1 (instance :Text, answer :Data) -> (session :Session, counterProof :Data);
}

interface Session {
  # One-way: consensus messages, which may be lost and are sent again by their protocol.
  consensus @0 (message :Data) -> ();
  # A question and its answer.
  ask @1 (question :Data) -> (answer :Data);
}
