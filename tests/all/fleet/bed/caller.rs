//! A caller that sees raw answers.

use super::{KEY, WAIT_TIMEOUT};
use egretseam_h1::{BodyReader, HttpConnection, ReadError};

/// An answer as a caller saw it.
#[derive(Clone, Debug)]
pub(crate) struct SeenAnswer {
    pub(crate) status: u16,
    pub(crate) signature: Option<String>,
    pub(crate) retry_after: Option<f64>,
    pub(crate) body: String,
}

/// A caller's connection.
pub(crate) struct Caller {
    pub(super) connection: HttpConnection,
}

impl Caller {
    pub(crate) async fn send(&mut self, text: &str) {
        self.connection.write(text.as_bytes()).await.expect("sent");
    }

    /// Reads one answer; an error if it breaks off.
    pub(crate) async fn read(&mut self) -> Result<SeenAnswer, ReadError> {
        let work = async {
            let head = self.connection.read_response().await?;
            let reader = BodyReader::new(head.framing(b"POST"));
            let body = self.connection.read_body(reader, 1 << 20).await?;
            Ok(SeenAnswer {
                status: head.status,
                signature: head.headers.text("X-Response-Signature").map(str::to_owned),
                retry_after: head.headers.parse("Retry-After"),
                body: String::from_utf8_lossy(&body).into_owned(),
            })
        };
        tokio::time::timeout(WAIT_TIMEOUT, work).await.expect("an answer in time")
    }

    /// Reads until the stream's first event is here.
    pub(crate) async fn first_event(&mut self) -> String {
        let head = self.connection.read_response().await.expect("a head");
        let mut reader = BodyReader::new(head.framing(b"POST"));
        let piece = reader.next(&mut self.connection).await.expect("a piece").expect("an event");
        String::from_utf8_lossy(&piece).into_owned()
    }
}

/// A request of a caller with the test organisation's key.
pub(crate) fn request(path: &str, id: &str, fields: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 5000\r\n\
         Authorization: Bearer {KEY}\r\n{fields}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
