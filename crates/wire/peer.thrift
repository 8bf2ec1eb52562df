// Messages between entries. After a change, from the workspace's root:
//   thrift --gen rs -out crates/wire/src/generated crates/wire/peer.thrift

// A key withdrawn by an operator outside tickets.
struct Denial {
  // Digest of the key.
  1: required binary digest;
  2: required string operator;
}

// What an entry gives a team.
struct Given {
  1: required string team;
  // Slots in use, a moving mean in 1/256.
  2: required i32 slots;
  // Whether requests of the team wait there.
  3: required bool waits;
}

// What an entry tells a peer about itself, every period.
struct Beat {
  1: required string entry;
  2: required string dc;
  // The offset of the next record it will apply.
  3: required i64 head;
  // Which life of the entry.
  4: required string life;
  // When this was sent, by the sender's clock.
  5: required i64 stamp;
  // The life that the sender last heard the receiver's entry with, and that beat's stamp.
  6: optional string heard;
  7: optional i64 echo;
  // Whether that life may go on as far as the sender knows, with units that it holds.
  8: required bool renews;
  // Digests of keys that operators withdrew and that the log may not show yet.
  9: optional list<Denial> denials;
  // What the sender gives teams; not in every beat.
  10: optional list<Given> given;
}

// Records of the fleet's stream, without a gap.
struct Tail {
  1: required i64 first;
  2: required list<string> bodies;
}

// Part of a snapshot.
struct Chunk {
  // The snapshot holds all records below this offset.
  1: required i64 head;
  // Bytes of the whole snapshot.
  2: required i64 size;
  // Where this part starts.
  3: required i64 start;
  4: required binary bytes;
}
