//! An endpoint's answer, as it comes in.

use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::{ResponseHead, StatusCode, header};
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;
use tokio_util::codec::Decoder;

/// How the end of a body is known.
enum Body {
    /// There is none.
    Empty(ClientCodec),
    /// By its length or its chunks.
    Framed(ClientPayloadCodec),
    /// By the end of the connection.
    UntilClose,
    /// It has ended.
    Ended(ClientCodec),
    /// It has ended with its connection.
    Closed,
}

/// The answer broke off, or can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResponseError;

/// The body of an answer.
pub(crate) enum Collected {
    /// All of it.
    Whole(Bytes),
    /// More than the limit: what was read so far.
    TooLong(Bytes),
}

/// Reads one answer after another from a connection.
pub(crate) struct ResponseReader<'a, 'b> {
    read: &'a mut ReadHalf<'b>,
    buf: &'a mut BytesMut,
    body: Body,
}

/// Read at once from a socket, in bytes: a plain answer or several events fit.
const READ: usize = 8 * 1024;

impl<'a, 'b> ResponseReader<'a, 'b> {
    /// A reader at the start of an answer.
    pub(crate) const fn new(
        read: &'a mut ReadHalf<'b>,
        buf: &'a mut BytesMut,
        codec: ClientCodec,
    ) -> Self {
        Self { read, buf, body: Body::Ended(codec) }
    }

    /// Reads the head of the next answer, after the end of the one before. An answer `to_head` requests has no body,
    /// whatever its head says.
    pub(crate) async fn head(&mut self, to_head: bool) -> Result<ResponseHead, ResponseError> {
        let Body::Ended(mut codec) = std::mem::replace(&mut self.body, Body::Closed) else {
            return Err(ResponseError);
        };
        let head = loop {
            match codec.decode(self.buf) {
                Ok(Some(head)) if head.status == StatusCode::CONTINUE => {}
                Ok(Some(head)) => break head,
                Ok(None) => fill(self.read, self.buf).await?,
                Err(_) => return Err(ResponseError),
            }
        };
        self.body = Self::body_of(&head, codec, to_head)?;
        Ok(head)
    }

    fn body_of(
        head: &ResponseHead,
        codec: ClientCodec,
        to_head: bool,
    ) -> Result<Body, ResponseError> {
        let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
        let is_chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        if has_length && is_chunked {
            return Err(ResponseError);
        }
        let never = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if to_head || never {
            return Ok(Body::Empty(codec));
        }
        // The codec takes such an answer for one without a body.
        if !has_length && !is_chunked {
            return Ok(Body::UntilClose);
        }
        if codec.message_type() == MessageType::None {
            return Ok(Body::Empty(codec));
        }
        Ok(Body::Framed(codec.into_payload_codec()))
    }

    /// The next bytes of the body, or none at its end.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, ResponseError> {
        loop {
            match std::mem::replace(&mut self.body, Body::Closed) {
                Body::Empty(codec) | Body::Ended(codec) => {
                    self.body = Body::Ended(codec);
                    return Ok(None);
                }
                Body::Closed => return Ok(None),
                Body::UntilClose => return self.next_until_close().await,
                Body::Framed(mut codec) => match codec.decode(self.buf) {
                    Ok(Some(Some(bytes))) => {
                        self.body = Body::Framed(codec);
                        return Ok(Some(bytes));
                    }
                    Ok(Some(None)) => self.body = Body::Ended(codec.into_message_codec()),
                    Ok(None) => {
                        self.body = Body::Framed(codec);
                        fill(self.read, self.buf).await?;
                    }
                    Err(_) => return Err(ResponseError),
                },
            }
        }
    }

    /// Reads the rest of the body, or as much of it as exceeds `limit` bytes.
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

    async fn next_until_close(&mut self) -> Result<Option<Bytes>, ResponseError> {
        if self.buf.is_empty() {
            self.buf.reserve(READ);
            let count = self.read.read_buf(self.buf).await.map_err(|_| ResponseError)?;
            if count == 0 {
                return Ok(None);
            }
        }
        self.body = Body::UntilClose;
        Ok(Some(self.buf.split().freeze()))
    }

    /// The codec for the next answer, where the connection can carry one.
    pub(crate) fn into_codec(self) -> Option<ClientCodec> {
        match self.body {
            Body::Ended(codec) => Some(codec),
            Body::Empty(_) | Body::Framed(_) | Body::UntilClose | Body::Closed => None,
        }
    }
}

async fn fill(read: &mut ReadHalf<'_>, buf: &mut BytesMut) -> Result<(), ResponseError> {
    buf.reserve(READ);
    match read.read_buf(buf).await {
        Ok(0) | Err(_) => Err(ResponseError),
        Ok(_) => Ok(()),
    }
}
