@0xb8c1d7f2a4e09563;

# The protocol between the instances of the tier. Fields may be added but never renumbered; a field
# that an older release does not send has its default value.

using Rust = import "rust.capnp";
$Rust.parentModule("peer_link::generated");

enum Refusal {
  none @0;               # The request was accepted.
  unsupportedVersion @1; # The two sides have no protocol version in common.
  badRequest @2;         # A field is missing, malformed or too large.
  badProof @3;           # The proof does not match any key of this side.
  unknownKind @4;        # This release does not know the kind of the frame.
  busy @5;               # The peer has no capacity for the call.
  refused @6;            # The handler of the peer refused the call.
}

struct Identity {
  instance @0 :Text;      # The id of the instance.
  incarnation @1 :UInt64; # The incarnation of the instance, one per process start.
  address @2 :Text;       # The address on which the instance listens for peers, IP:PORT.
  nonce @3 :Data;         # 32 random bytes, new for each handshake.
}

# A hybrid logical clock stamp; zeros mean that the message has no stamp.
struct Stamp {
  wallMs @0 :UInt64;  # Milliseconds since the Unix epoch.
  logical @1 :UInt32; # Orders stamps within a millisecond.
}

# The interface of a new connection. Nothing else is available before authentication.
interface PeerGate {
  # Offers a range of protocol versions and identifies the dialing instance.
  hello @0 (version :UInt16, minVersion :UInt16, dialer :Identity)
        -> (refusal :Refusal, version :UInt16, acceptor :Identity);

  # Proves that the dialer holds a key; the acceptor proves the same in its answer.
  prove @1 (proof :Data) -> (refusal :Refusal, proof :Data, session :PeerSession);
}

# The interface of an authenticated connection.
interface PeerSession {
  # Delivers a frame that needs no answer. The return acknowledges it; the sender limits the
  # unacknowledged frames.
  send @0 (kind :UInt16, payload :Data, stamp :Stamp) -> ();

  # Delivers a frame and waits at most timeoutMs milliseconds for the answer.
  call @1 (kind :UInt16, payload :Data, timeoutMs :UInt32, stamp :Stamp)
       -> (refusal :Refusal, reason :Text, kind :UInt16, payload :Data, stamp :Stamp);

  # Checks that the connection works, also while calls wait for their answers.
  ping @2 () -> ();
}
