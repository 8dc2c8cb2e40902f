//! One request over one new connection.
//!
//! Connections to upstreams are not kept: an upstream may send more after its
//! answer, and on a connection used again that would pass for the answer to
//! the next request. A new connection costs a millisecond.

use std::time::Duration;

use bytes::Bytes;
use http::{Failure, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// An answer whose body is still on its way. Dropping it closes the
/// connection, by which the upstream learns that nobody waits any more.
pub struct OpenResponse {
    /// Head and body of the answer.
    pub response: Response<Incoming>,
    /// Keeps the connection going.
    pub _connection: ConnectionTask,
}

/// The task of a connection; it ends when this is dropped.
pub struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection on which nothing was sent yet.
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    connection: ConnectionTask,
}

/// Connects to an upstream.
///
/// # Errors
///
/// Fails with [`Failure::NotSent`] if there is no connection after `limit`.
pub async fn connect(addr: &str, limit: Duration) -> Result<Connection, Failure> {
    let not_sent = |cause: String| Failure::NotSent(cause);
    let stream = match timeout(limit, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(not_sent(e.to_string())),
        Err(_) => return Err(not_sent("no connection in time".into())),
    };
    // Without it answers come later, and nothing else changes.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| not_sent(e.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        // The request's side sees the same error and tells it.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        connection: ConnectionTask(task),
    })
}

impl Connection {
    /// Sends the request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::InstanceLoss`] if the request may have got out.
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
