//! Reads HTTP responses from an endpoint.

use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::{ResponseHead, StatusCode, header};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;
use tokio_util::codec::Decoder;

/// The body of the current response, by how its end is found.
enum Body {
    /// The response has no body.
    Empty(ClientCodec),
    /// The body is delimited by its length or by chunked encoding.
    Framed(ClientPayloadCodec),
    /// The body ends when the connection is closed.
    UntilClose,
    /// The body was read to its end; the codec is ready for the next response.
    Complete(ClientCodec),
    /// What follows the bytes of the body that were returned last is malformed.
    Malformed,
    /// The connection can't carry another response: it was closed or reading failed.
    Closed,
}

/// How the end of a response's body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By a length, or by a status without a body.
    Length,
    /// By the last chunk.
    Chunked,
    /// By the close of the connection, after which the body may lack its end.
    UntilClose,
}

impl Framing {
    /// Returns the name used in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Length | Self::Chunked => "explicit",
            Self::UntilClose => "until_close",
        }
    }

    /// Returns the name of the end of a body in logs.
    pub(crate) const fn end_as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "last_chunk",
            Self::UntilClose => "close",
        }
    }
}

/// Why a response can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseError {
    /// It is truncated or malformed.
    Broken,
    /// It goes on without getting nearer to its end.
    Endless,
}

/// A response body read up to a size limit.
pub(crate) enum Collected {
    /// The complete body.
    Whole(Bytes),
    /// The body exceeds the limit; holds the bytes read so far.
    TooLong(Bytes),
}

/// Reads successive responses from one connection.
pub(crate) struct ResponseReader<'a, 'b> {
    read: &'a mut ReadHalf<'b>,
    buf: &'a mut BytesMut,
    body: Body,
    framing: Framing,
    /// Whether the close of the connection may end a body.
    is_close_trusted: bool,
    /// Bytes of chunk headers and trailers since the last bytes of the body.
    framing_bytes: usize,
    /// Bytes read from the connection, framing included.
    bytes_read: usize,
}

/// Buffer space reserved for each read from the socket, in bytes: fits a typical response or several events.
const READ_BYTES: usize = 8 * 1024;
/// Maximum number of interim responses (1xx) before the final one; servers send one at most.
const MAX_INTERIM_RESPONSES: u32 = 8;
/// Maximum size of a chunk header with its extensions, or of the trailers, in bytes: as much as of a response head.
const MAX_FRAMING_BYTES: usize = 128 * 1024;

impl<'a, 'b> ResponseReader<'a, 'b> {
    /// Creates a reader that expects the head of a response next.
    pub(crate) const fn new(
        read: &'a mut ReadHalf<'b>,
        buf: &'a mut BytesMut,
        codec: ClientCodec,
    ) -> Self {
        Self {
            read,
            buf,
            body: Body::Complete(codec),
            framing: Framing::Length,
            is_close_trusted: true,
            framing_bytes: 0,
            bytes_read: 0,
        }
    }

    /// Reads the head of the next response. The body of the previous one must have been read to its end. With
    /// `is_head_request`, the response has no body, whatever its headers say.
    pub(crate) async fn head(
        &mut self,
        is_head_request: bool,
    ) -> Result<ResponseHead, ResponseError> {
        let Body::Complete(mut codec) = std::mem::replace(&mut self.body, Body::Closed) else {
            return Err(ResponseError::Broken);
        };
        let mut interim_responses = 0;
        let head = loop {
            match codec.decode(self.buf) {
                Ok(Some(head)) if is_interim(&head, &codec) => {
                    interim_responses += 1;
                    if interim_responses > MAX_INTERIM_RESPONSES {
                        return Err(ResponseError::Endless);
                    }
                }
                Ok(Some(head)) if !is_final(head.status) => return Err(ResponseError::Broken),
                Ok(Some(head)) => break head,
                Ok(None) => _ = read_more(self.read, self.buf).await?,
                Err(_) => return Err(ResponseError::Broken),
            }
        };
        self.framing_bytes = 0;
        self.body = Self::body_of(&head, codec, is_head_request)?;
        self.framing = match self.body {
            Body::UntilClose => Framing::UntilClose,
            Body::Framed(_) if head.headers.contains_key(header::TRANSFER_ENCODING) => {
                Framing::Chunked
            }
            _ => Framing::Length,
        };
        Ok(head)
    }

    /// Takes the close of the connection for no end of a body from here on: it may have been reset.
    pub(crate) const fn distrust_close(&mut self) {
        self.is_close_trusted = false;
    }

    /// Bytes of the body that were read from the connection so far, framing included.
    pub(crate) const fn bytes_read(&self) -> usize {
        self.bytes_read
    }

    /// How the end of the present response's body is found.
    pub(crate) const fn framing(&self) -> Framing {
        self.framing
    }

    fn body_of(
        head: &ResponseHead,
        codec: ClientCodec,
        is_head_request: bool,
    ) -> Result<Body, ResponseError> {
        let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        if has_length && is_chunked {
            return Err(ResponseError::Broken);
        }
        let bodyless_status =
            matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if is_head_request || bodyless_status {
            // A length or chunked encoding describes the body that another request would get. The codec expects it here.
            let expects_body = codec.message_type() != MessageType::None;
            return Ok(Body::Empty(if expects_body { ClientCodec::default() } else { codec }));
        }
        // The codec would treat such a response as having no body, with a transfer coding other than chunked as well.
        let is_framed = has_length || (is_chunked && codec.message_type() != MessageType::None);
        if !is_framed {
            return Ok(Body::UntilClose);
        }
        if codec.message_type() == MessageType::None {
            return Ok(Body::Empty(codec));
        }
        Ok(Body::Framed(codec.into_payload_codec()))
    }

    /// Returns the next bytes of the body, or `None` at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, ResponseError> {
        loop {
            match std::mem::replace(&mut self.body, Body::Closed) {
                Body::Empty(codec) | Body::Complete(codec) => {
                    self.body = Body::Complete(codec);
                    return Ok(None);
                }
                // After the end of such a body, or a read that failed or was cancelled.
                Body::Closed => return Err(ResponseError::Broken),
                Body::Malformed => return Err(ResponseError::Broken),
                Body::UntilClose => return self.next_until_close().await,
                Body::Framed(mut codec) => match codec.decode(self.buf) {
                    Ok(Some(Some(bytes))) => {
                        self.framing_bytes = 0;
                        return Ok(Some(self.join_chunks(codec, bytes)));
                    }
                    Ok(Some(None)) => self.body = Body::Complete(codec.into_message_codec()),
                    Ok(None) => {
                        let count = read_more(self.read, self.buf).await?;
                        self.bytes_read += count;
                        self.framing_bytes += count;
                        if self.framing_bytes > MAX_FRAMING_BYTES {
                            return Err(ResponseError::Endless);
                        }
                        self.body = Body::Framed(codec);
                    }
                    Err(_) => return Err(ResponseError::Broken),
                },
            }
        }
    }

    /// Joins the chunks that have arrived after this one. Each may be as short as a byte.
    fn join_chunks(&mut self, mut codec: ClientPayloadCodec, first: Bytes) -> Bytes {
        let mut joined: Option<BytesMut> = None;
        self.body = loop {
            if self.buf.is_empty() {
                break Body::Framed(codec);
            }
            match codec.decode(self.buf) {
                Ok(Some(Some(bytes))) => {
                    joined
                        .get_or_insert_with(|| BytesMut::from(&first[..]))
                        .extend_from_slice(&bytes);
                }
                Ok(Some(None)) => break Body::Complete(codec.into_message_codec()),
                Ok(None) => break Body::Framed(codec),
                Err(_) => break Body::Malformed,
            }
        };
        joined.map_or(first, BytesMut::freeze)
    }

    /// Reads the rest of the body, and stops once it exceeds `limit` bytes. A body that arrives in one piece is
    /// returned whole, whatever its size.
    pub(crate) async fn collect(&mut self, limit: usize) -> Result<Collected, ResponseError> {
        let Some(first) = self.next().await? else { return Ok(Collected::Whole(Bytes::new())) };
        let Some(second) = self.next().await? else { return Ok(Collected::Whole(first)) };
        let mut all = BytesMut::from(&first[..]);
        let mut next = Some(second);
        while let Some(bytes) = next {
            all.extend_from_slice(&bytes);
            if all.len() > limit {
                return Ok(Collected::TooLong(all.freeze()));
            }
            next = self.next().await?;
        }
        Ok(Collected::Whole(all.freeze()))
    }

    /// Reads the rest of the body and drops it, up to `limit` bytes.
    pub(crate) async fn skip(&mut self, limit: usize) -> Result<(), ResponseError> {
        let mut skipped = 0;
        while let Some(bytes) = self.next().await? {
            skipped += bytes.len();
            if skipped > limit {
                return Err(ResponseError::Endless);
            }
        }
        Ok(())
    }

    async fn next_until_close(&mut self) -> Result<Option<Bytes>, ResponseError> {
        if self.buf.is_empty() {
            self.buf.reserve(READ_BYTES);
            let count = self.read.read_buf(self.buf).await.map_err(|_| ResponseError::Broken)?;
            if count == 0 {
                return if self.is_close_trusted { Ok(None) } else { Err(ResponseError::Broken) };
            }
            self.bytes_read += count;
        }
        self.body = Body::UntilClose;
        Ok(Some(self.buf.split().freeze()))
    }

    /// Returns the codec if the connection can carry another response.
    pub(crate) fn into_codec(self) -> Option<ClientCodec> {
        match self.body {
            Body::Complete(codec) => Some(codec),
            Body::Empty(_)
            | Body::Framed(_)
            | Body::UntilClose
            | Body::Malformed
            | Body::Closed => None,
        }
    }
}

/// Whether a response of this head comes before the final one. Interim responses have no body.
fn is_interim(head: &ResponseHead, codec: &ClientCodec) -> bool {
    let is_upgrade = head.status == StatusCode::SWITCHING_PROTOCOLS;
    head.status.is_informational() && !is_upgrade && codec.message_type() == MessageType::None
}

/// Whether a final response may have this status (RFC 9110, section 15).
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads what has arrived, at least one byte. Returns the number of bytes.
async fn read_more(read: &mut ReadHalf<'_>, buf: &mut BytesMut) -> Result<usize, ResponseError> {
    buf.reserve(READ_BYTES);
    match read.read_buf(buf).await {
        Ok(0) | Err(_) => Err(ResponseError::Broken),
        Ok(count) => Ok(count),
    }
}
