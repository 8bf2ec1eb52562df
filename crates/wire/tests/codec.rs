//! Messages are unchanged after encoding and decoding, and damaged messages cannot cause a panic or
//! a huge allocation.

use cactuswheel_testkit::check;
use quickcheck::Arbitrary;

use cactuswheel_wire::{Beat, Given, Tail, decode, encode};

fn tail(first: i64, bodies: Vec<String>) -> Tail {
    Tail { first, bodies }
}

#[test]
fn round_trip() {
    check(
        1,
        200,
        (|first, bodies| {
            let sent = tail(first, bodies);
            decode::<Tail>(&encode(&sent).unwrap()).unwrap() == sent
        }) as fn(i64, Vec<String>) -> bool,
    );
}

#[test]
fn cut_short() {
    let bytes = encode(&Beat {
        entry: "e1".into(),
        dc: "lj1".into(),
        head: 7,
        life: "e1:7".into(),
        stamp: 1,
        heard: None,
        echo: None,
        renews: false,
        denials: None,
        given: None,
    })
    .unwrap();
    for end in 0..bytes.len() {
        assert!(
            decode::<Beat>(&bytes[..end]).is_err(),
            "{end} of {}",
            bytes.len()
        );
    }
}

#[test]
fn beat_size() {
    // Heartbeats are sent once a second over each link. Their size accounts for most of the traffic
    // between entries.
    let mut beat = Beat {
        entry: "entry-kathmandu-117".into(),
        dc: "kathmandu-3".into(),
        head: 1 << 40,
        life: "entry-kathmandu-117:0123456789abcdef".into(),
        stamp: 1 << 40,
        heard: Some("entry-kathmandu-118:0123456789abcdef".into()),
        echo: Some(1 << 40),
        renews: true,
        denials: None,
        given: None,
    };
    assert!(encode(&beat).unwrap().len() <= 140);
    let row = |n: usize| Given {
        team: format!("team-{n}"),
        slots: 4_000,
        waits: n.is_multiple_of(2),
    };
    beat.given = Some((0..160).map(row).collect());
    assert!(encode(&beat).unwrap().len() <= 160 * 16 + 140);
}

#[test]
fn huge_list() {
    // Field 1 is an i64; field 2 declares a list of 2^31 - 1 strings that do not follow.
    let bytes = [0x16, 0x00, 0x19, 0xf8, 0xff, 0xff, 0xff, 0xff, 0x07];
    assert!(decode::<Tail>(&bytes).is_err());
}

#[test]
fn damaged_byte() {
    // A message with a changed byte gives an error or decodes to another message, without a panic
    // or a huge allocation.
    let whole = encode(&tail(9, vec!["a".into(), "bc".into()])).unwrap();
    check(2, 2_000, damage_byte(whole.to_vec()));
}

fn damage_byte(whole: Vec<u8>) -> impl quickcheck::Testable {
    DamagedByte(whole)
}

struct DamagedByte(Vec<u8>);

impl quickcheck::Testable for DamagedByte {
    fn result(&self, g: &mut quickcheck::Gen) -> quickcheck::TestResult {
        let mut bytes = self.0.clone();
        let at = *g.choose(&(0..bytes.len()).collect::<Vec<_>>()).unwrap();
        bytes[at] = u8::arbitrary(g);
        let read = decode::<Tail>(&bytes);
        let size = read.map_or(0, |t| t.bodies.iter().map(String::len).sum());
        quickcheck::TestResult::from_bool(size <= bytes.len())
    }
}
