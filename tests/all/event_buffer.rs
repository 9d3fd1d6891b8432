//! Streams of server-sent events that arrive in pieces.

use egretseam_gateway::{EventBuffer, last_event_id};
use proptest::prelude::*;

const CASES: u32 = 300;
const SEED: u64 = 48;

/// One event with the blank line that ends it, or one comment that is set apart like an event.
fn blocks() -> impl Strategy<Value = String> {
    let line_end = prop_oneof![Just("\n"), Just("\r\n"), Just("\r")];
    let line = prop_oneof![
        "id: [0-9]{1,4}",
        "data:[ a-z:]{0,12}",
        "data",
        "weight-versions: [0-9]",
        ":[ a-z]{0,6}",
    ];
    (line_end, prop::collection::vec(line, 1..4)).prop_map(|(line_end, lines)| {
        let lines: String = lines.iter().map(|line| format!("{line}{line_end}")).collect();
        lines + line_end
    })
}

/// Number of bytes that are complete when `arrived` bytes of the blocks have arrived. A blank line
/// is complete with its CR, whether an LF follows or not.
fn complete_bytes(blocks: &[String], arrived: usize) -> usize {
    let mut complete = 0;
    for block in blocks {
        let end = complete + block.len();
        if arrived >= end {
            complete = end;
        } else if block.ends_with("\r\n") && arrived + 1 == end {
            return arrived;
        } else {
            return complete;
        }
    }
    complete
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against events that are held back, cut or repeated, however their lines end and
    /// wherever their bytes are cut.
    #[test]
    fn events_are_complete_with_their_blank_line(
        blocks in prop::collection::vec(blocks(), 1..6),
        piece_bytes in prop_oneof![Just(1_usize), 1_usize..40],
    ) {
        let stream = blocks.concat();
        let mut buffer = EventBuffer::default();
        let mut forwarded = Vec::new();
        let mut arrived = 0;
        for piece in stream.as_bytes().chunks(piece_bytes) {
            arrived += piece.len();
            forwarded.extend(buffer.push(piece).unwrap_or_default());
            prop_assert_eq!(forwarded.len(), complete_bytes(&blocks, arrived));
        }
        prop_assert_eq!(forwarded, stream.as_bytes());
        prop_assert_eq!(buffer.remainder(), b"");
        prop_assert!(!buffer.is_inside_event());
    }

    /// Guards against whole streams that are taken for broken ones, and the other way round: only
    /// comments may follow the last event.
    #[test]
    fn a_stream_ends_inside_an_event_unless_only_comments_follow(
        blocks in prop::collection::vec(blocks(), 1..4),
        cut_bytes in 0_usize..80,
    ) {
        let stream = blocks.concat();
        let stream = &stream[..stream.len().saturating_sub(cut_bytes)];
        let mut buffer = EventBuffer::default();
        buffer.push(stream.as_bytes());
        let rest = &stream[complete_bytes(&blocks, stream.len())..];
        let line_ended = rest.is_empty() || rest.ends_with(['\n', '\r']);
        let lines = rest.split(['\n', '\r']);
        let only_comments = lines.into_iter().all(|line| line.is_empty() || line.starts_with(':'));
        prop_assert_eq!(buffer.is_inside_event(), !(line_ended && only_comments));
    }
}

#[test]
fn the_last_id_is_found_whatever_ends_the_lines() {
    for line_end in ["\n", "\r\n", "\r"] {
        let events = ["id: 7", "data: id: 8", "", "data: x", "", ""].join(line_end);
        assert_eq!(last_event_id(events.as_bytes()), Some("7"), "{events:?}");
    }
}
