//! Client side of one connection.

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::client::Failure;
use crate::meter::{Meter, Metered, ResponseBody};

/// Size of the buffer for received bytes, and so of the largest response head. Each connection
/// has one.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Cause of a failure if bytes arrive without end that complete no part of a response.
const ENDLESS: &str = "bytes without end";

/// Sends requests over one connection, one after the other.
#[derive(Debug)]
pub struct Sender {
    inner: SendRequest<Full<Bytes>>,
    meter: Meter,
}

/// Reason why there is no response to a request on a connection.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it was sent; holds the request and the cause.
    Unsent(Box<Request<Full<Bytes>>>, String),
    /// It may have been sent.
    Lost(Failure),
}

/// Prepares a connection for requests. Returns its sender, and the future that drives the
/// connection until it ends.
///
/// # Errors
///
/// Fails if the connection is closed.
pub async fn handshake(
    stream: TcpStream,
) -> hyper::Result<(
    Sender,
    impl Future<Output = hyper::Result<()>> + Send + 'static,
)> {
    // Without it responses arrive later; nothing else changes.
    let _ = stream.set_nodelay(true);
    let meter = Meter::default();
    let io = TokioIo::new(Metered::new(stream, meter.clone()));
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_BUFFER_BYTES);
    let (inner, connection) = builder.handshake(io).await?;
    Ok((Sender { inner, meter }, connection))
}

/// Returns whether a response with this status may be the last one to a request. Those outside
/// 200 to 599 are interim, or are none (RFC 9110, section 15); the protocol is never upgraded.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

impl Sender {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed or breaks, if bytes arrive without end that are no
    /// head, or if the status is not that of a final response.
    pub fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> impl Future<Output = Result<Response<ResponseBody>, SendError>> + Send + use<> {
        let meter = self.meter.clone();
        meter.reset();
        let sending = self.inner.try_send_request(request);
        async move {
            match sending.await {
                Ok(response) if !is_final(response.status()) => {
                    let cause = format!("status {}", response.status().as_str());
                    Err(SendError::Lost(Failure::Invalid(cause)))
                }
                Ok(response) => Ok(response.map(|body| ResponseBody::new(body, meter))),
                Err(mut e) => {
                    let is_endless = meter.is_exceeded();
                    let cause = match is_endless {
                        true => ENDLESS.to_string(),
                        false => e.error().to_string(),
                    };
                    let is_invalid = is_endless || e.error().is_parse();
                    Err(match e.take_message() {
                        Some(request) => SendError::Unsent(Box::new(request), cause),
                        None if is_invalid => SendError::Lost(Failure::Invalid(cause)),
                        None => SendError::Lost(Failure::Lost(cause)),
                    })
                }
            }
        }
    }

    /// Returns whether the connection takes another request.
    pub(crate) fn is_ready(&self) -> bool {
        self.inner.is_ready()
    }

    /// Returns whether the connection is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.inner.is_closed()
    }
}

impl Failure {
    /// Returns whether bytes arrived without end that were no response.
    pub fn is_endless(&self) -> bool {
        matches!(self, Failure::Invalid(cause) if cause == ENDLESS)
    }
}
