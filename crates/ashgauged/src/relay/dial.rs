//! Sends one request over one new connection.
//!
//! Connections to upstreams are not reused: an upstream may send more data after its
//! response, which on a reused connection would be taken for the response to the next
//! request. A new connection costs a millisecond.

use std::time::Duration;

use bytes::Bytes;
use http::{Failure, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A response whose body is still being received. Dropping it closes the connection, by
/// which the upstream learns that nobody waits any more.
pub struct OpenResponse {
    /// Head and body of the response.
    pub response: Response<Incoming>,
    /// Drives the connection.
    pub _connection: ConnectionTask,
}

/// The task that drives a connection; it is aborted when this is dropped.
pub struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection on which nothing has been sent yet.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: ConnectionTask,
}

/// Connects to an upstream.
///
/// # Errors
///
/// Fails with [`Failure::NotSent`] if there is no connection within `limit`.
pub async fn connect(addr: &str, limit: Duration) -> Result<Connection, Failure> {
    let not_sent = |cause: String| Failure::NotSent(cause);
    let stream = match timeout(limit, http::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(not_sent(e.to_string())),
        Err(_) => return Err(not_sent("no connection in time".into())),
    };
    // Without it responses arrive later; nothing else changes.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| not_sent(e.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        // The sender of the request gets the same error and reports it.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        connection: ConnectionTask(task),
    })
}

impl Connection {
    /// Sends the request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::NotSent`] if no part of the request was sent, and with
    /// [`Failure::Lost`] if it may have been.
    pub async fn send(mut self, request: Request<Full<Bytes>>) -> Result<OpenResponse, Failure> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(OpenResponse {
                response,
                _connection: self.connection,
            }),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(Failure::NotSent(e.error().to_string())),
                None => Err(Failure::Lost(e.error().to_string())),
            },
        }
    }
}
