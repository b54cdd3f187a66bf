@0xb8c1d7f2a4e09563;

# The protocol between the instances of the tier. Fields may be added, never renumbered; a field
# that an older release does not send holds its default.

using Rust = import "rust.capnp";
$Rust.parentModule("peer_link::generated");

enum Refusal {
  none @0;               # The request was accepted.
  unsupportedVersion @1; # No protocol version is known to both sides.
  badRequest @2;         # A field is missing, malformed or too large.
  badProof @3;           # The proof does not match a key of this side.
  unknownKind @4;        # This release does not know the kind of the frame.
  busy @5;               # Too many calls run for this connection.
  refused @6;            # The receiver of the frame refused it.
}

struct Identity {
  instance @0 :Text;      # The name of the instance.
  incarnation @1 :UInt64; # The start of the instance.
  address @2 :Text;       # Where the instance listens for peers, IP:PORT.
  nonce @3 :Data;         # 32 random bytes, new for each connection.
}

# A point on the hybrid clocks of the fleet; zeros stand for none.
struct Stamp {
  wallMs @0 :UInt64;  # Milliseconds since the Unix epoch.
  logical @1 :UInt32; # Orders stamps within a millisecond.
}

# What a new connection offers. Nothing else is reachable before the proof.
interface PeerGate {
  # Offers a range of protocol versions and names the dialing instance.
  hello @0 (version :UInt16, minVersion :UInt16, dialer :Identity)
        -> (refusal :Refusal, version :UInt16, acceptor :Identity);

  # Proves that the dialer holds a key; the acceptor proves the same in its answer.
  prove @1 (proof :Data) -> (refusal :Refusal, proof :Data, session :PeerSession);
}

# What an authenticated connection offers.
interface PeerSession {
  # Hands over a frame that needs no answer; the return bounds what is in flight.
  send @0 (kind :UInt16, payload :Data, stamp :Stamp) -> ();

  # Hands over a frame and waits at most timeoutMs milliseconds for the answer.
  call @1 (kind :UInt16, payload :Data, timeoutMs :UInt32, stamp :Stamp)
       -> (refusal :Refusal, reason :Text, kind :UInt16, payload :Data, stamp :Stamp);
}
