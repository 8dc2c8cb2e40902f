//! Sends one request over one new connection.
//!
//! Connections to upstreams are not reused: an upstream may send more data after its
//! response, which on a reused connection would be taken for the response to the next
//! request. A new connection costs a millisecond.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::{Failure, Full, ResponseBody};
use hyper::{Request, Response};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long a new connection must stay open to count as accepted: a middlebox may accept it and
/// reset it at once.
const MIN_OPEN_TIME: Duration = Duration::from_millis(10);

/// A response whose body is still being received. Dropping it closes the connection, by
/// which the upstream learns that nobody waits any more.
pub struct OpenResponse {
    /// Head and body of the response.
    pub response: Response<ResponseBody>,
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
    sender: http::Sender,
    connection: ConnectionTask,
}

/// Connects to an upstream, and closes the connection again.
///
/// # Errors
///
/// Fails if there is no connection, or if it is closed at once.
pub async fn try_connect(addr: &str) -> io::Result<()> {
    let stream = http::connect(addr).await?;
    match timeout(MIN_OPEN_TIME, stream.peek(&mut [0])).await {
        Ok(Ok(0)) => Err(io::ErrorKind::ConnectionReset.into()),
        Ok(Err(e)) => Err(e),
        _ => Ok(()),
    }
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
    let (sender, connection) = http::handshake(stream)
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
        let response = self.sender.send(request).await?;
        Ok(OpenResponse {
            response,
            _connection: self.connection,
        })
    }
}
