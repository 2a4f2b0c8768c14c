//! Parsing of event streams in chunks of any size.

use hawthornpost_gateway::event_stream::Splitter;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nx-version: 2\nid: 2\ndata: b\n\ndata: no id\n\nid: 4\r\ndata: c\r\n\r\nid: 5\ndata: cut";

/// Guards against events that are lost, merged or truncated at chunk boundaries.
#[test]
fn events_are_complete_for_every_chunk_size() {
    for size in 1..STREAM.len() {
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for chunk in STREAM.chunks(size) {
            splitter.push(chunk);
            events.extend(splitter.by_ref());
        }
        let ids = events.iter().map(|event| event.id).collect::<Vec<_>>();
        assert_eq!(ids, [Some(1), Some(2), None, Some(4)], "chunks of {size} bytes");
        let bytes = events.iter().flat_map(|event| event.bytes.to_vec()).collect::<Vec<_>>();
        assert_eq!(bytes, STREAM[..bytes.len()]);
        assert!(splitter.has_incomplete_event());
    }
}
