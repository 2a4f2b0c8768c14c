//! Output of a stream to its caller.

use bytes::Bytes;
use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::body::Task;
use hawthornpost_gateway::stream_output::{MAX_BUFFERED_PARTS, Output};
use http_body_util::BodyExt;
use hyper::HeaderMap;
use tokio::task::LocalSet;

/// Guards against a complete stream that looks truncated to a slow reader: the end mark was lost when the buffer for the
/// reader was full.
#[test]
fn a_slow_reader_receives_the_end_of_a_stream() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (mut output, input) = Output::new();
        let writer = tokio::task::spawn_local(async move {
            for _ in 0..MAX_BUFFERED_PARTS {
                let event = Bytes::from_static(b"data: x\n\n");
                output.forward(Instant::ZERO, &mut HeaderMap::new(), event).await;
            }
            output.finish().await;
        });
        let response = input.response(Task(writer)).await;
        // The reader starts only after the writer has filled the buffer.
        tokio::task::yield_now().await;
        let body = response.into_body().collect().await.expect("a complete body");
        assert_eq!(body.to_bytes().len(), MAX_BUFFERED_PARTS * b"data: x\n\n".len());
    });
}
