//! HTTP requests and responses of a server, over any stream.

use super::reject;
use crate::{ByteStream, within};
use async_h1::server::{Encoder, decode};
use futures_lite::{AsyncReadExt, io};
use http_types::{Method, Response, StatusCode, headers};
use std::time::Duration;

/// Limit on the body of a request of users and workers.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// A connection that sends nothing for so long is closed, so that half-open
/// clients can't use the sockets up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A body must be received, and a response sent, within this time.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// The content type of JSON bodies.
pub const JSON: &str = "application/json";

const BAD_REQUEST_RESPONSE: &[u8] = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\
                                      connection: close\r\n\r\n";

/// A request as the handler gets it.
pub struct HttpRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path of the URL.
    pub path: String,
    /// The URL's query, without the question mark.
    pub query: Option<String>,
    /// `None`: larger than the limit, or not received completely.
    pub body: Option<Vec<u8>>,
}

/// A response as the handler gives it.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The `Retry-After` header.
    pub retry_after_s: Option<u32>,
    /// The `Content-Type` header.
    pub content: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// A response with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Self {
        HttpResponse {
            status,
            retry_after_s: None,
            content: JSON,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    /// A response whose JSON body gives `text` as its `error`.
    pub fn error(status: u16, text: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": text }))
    }

    /// 503: the request can't be served now, but may be after a second.
    pub fn later(text: &str) -> Self {
        HttpResponse {
            retry_after_s: Some(1),
            ..Self::error(503, text)
        }
    }
}

/// A request with what it means for its connection.
pub struct ReceivedRequest {
    /// The request.
    pub request: HttpRequest,
    /// The connection is to be closed after the response.
    pub close: bool,
}

/// Reads the next request; `None` when there will be none. A body beyond
/// `max_body_bytes` is left out of the request.
///
/// `async-h1`'s decoder and encoder are driven here, because its own loop
/// always sets a timeout for headers, and that would start the reactor thread
/// of an older `async-io`.
pub async fn read_request<S: ByteStream>(
    stream: &mut S,
    max_body_bytes: usize,
) -> http_types::Result<Option<ReceivedRequest>> {
    let (mut incoming, _rest) = match within(IDLE_TIMEOUT, decode(stream.clone())).await {
        None | Some(Ok(None)) => return Ok(None),
        Some(Ok(Some(decoded))) => decoded,
        Some(Err(e)) => {
            reject(stream, BAD_REQUEST_RESPONSE).await;
            return Err(e);
        }
    };
    let mut body = Vec::new();
    // One byte more shows that the body is too large.
    let mut limited = (&mut incoming).take(max_body_bytes as u64 + 1);
    let read = within(TRANSFER_TIMEOUT, limited.read_to_end(&mut body)).await;
    let complete = matches!(read, Some(Ok(_))) && body.len() <= max_body_bytes;
    let close = !complete
        || incoming
            .header(headers::CONNECTION)
            .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
    let request = HttpRequest {
        method: incoming.method(),
        path: incoming.url().path().to_owned(),
        query: incoming.url().query().map(str::to_owned),
        body: complete.then_some(body),
    };
    Ok(Some(ReceivedRequest { request, close }))
}

/// Writes the response to a request with this method. Returns whether the
/// connection stays open.
pub async fn write_response<S: ByteStream>(
    stream: &mut S,
    response: HttpResponse,
    method: Method,
    close: bool,
) -> http_types::Result<bool> {
    let status = StatusCode::try_from(response.status).unwrap_or(StatusCode::InternalServerError);
    let mut outgoing = Response::new(status);
    outgoing.set_body(response.body);
    outgoing.insert_header(headers::CONTENT_TYPE, response.content);
    if let Some(seconds) = response.retry_after_s {
        outgoing.insert_header(headers::RETRY_AFTER, seconds.to_string());
    }
    if close {
        outgoing.insert_header(headers::CONNECTION, "close");
    }
    let mut encoder = Encoder::new(outgoing, method);
    match within(TRANSFER_TIMEOUT, io::copy(&mut encoder, stream)).await {
        Some(Ok(_)) => Ok(!close),
        Some(Err(e)) => Err(e.into()),
        None => Ok(false),
    }
}
