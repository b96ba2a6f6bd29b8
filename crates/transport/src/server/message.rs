//! HTTP requests and responses of a server. Works over any [`ByteStream`].

use super::reject;
use crate::{ByteStream, within};
use async_h1::server::{Encoder, decode};
use futures_lite::{AsyncReadExt, io};
use http_types::{Method, Response, StatusCode, headers};
use std::time::Duration;

/// Maximum size of the body of a request from a user or worker.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum wait for the head of the next request, after which the connection is
/// closed. Prevents half-open clients from exhausting the sockets.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time to receive a request body, and to send a response.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Content type of JSON bodies.
pub const JSON: &str = "application/json";

/// Response to a request that can't be parsed.
const BAD_REQUEST_RESPONSE: &[u8] = b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\
                                      connection: close\r\n\r\n";

/// HTTP request as passed to the handler.
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Path of the URL.
    pub path: String,
    /// Query of the URL without the question mark.
    pub query: Option<String>,
    /// Body of the request; `None` if the body is larger than the limit or was
    /// not received completely.
    pub body: Option<Vec<u8>>,
}

/// HTTP response as returned by the handler.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u32>,
    /// Value of the `Content-Type` header.
    pub content: &'static str,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Returns a response with `body` as its JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Self {
        HttpResponse {
            status,
            retry_after_s: None,
            content: JSON,
            body: serde_json::to_vec(body).unwrap_or_default(),
        }
    }

    /// Returns a response whose JSON body has `text` in its field `error`.
    pub fn error(status: u16, text: &str) -> Self {
        Self::json(status, &serde_json::json!({ "error": text }))
    }

    /// Returns a response with status 503 and a `Retry-After` of one second, for
    /// a request that can't be served now.
    pub fn later(text: &str) -> Self {
        HttpResponse {
            retry_after_s: Some(1),
            ..Self::error(503, text)
        }
    }
}

/// A request and whether its connection is to be closed.
pub struct ReceivedRequest {
    /// The HTTP request.
    pub request: HttpRequest,
    /// Whether to close the connection after the response.
    pub close: bool,
}

/// Reads the next request. Returns `None` if the client has closed the
/// connection or sent no request within the idle timeout. A body larger than
/// `max_body_bytes` is omitted from the request.
///
/// This function and [`write_response`] drive the decoder and the encoder of
/// `async-h1` directly, because the server loop of that crate always sets a
/// timeout for headers, which would start the reactor thread of an older
/// `async-io`.
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
    // Reading one byte beyond the limit shows whether the body is too large.
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

/// Writes the response to a request that had `method`. Returns whether the
/// connection can be used for another request.
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
