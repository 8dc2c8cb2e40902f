//! Idle connections of the client.

use std::time::Duration;

use bytes::Bytes;
use http::{Client, Full, Limits};
use hyper::{Request, Response};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Number of servers, each of which gets one request.
const SERVERS: usize = 300;

/// Maximum number of file descriptors that a client may hold for idle connections.
const MAX_IDLE: usize = 256;

/// Timeout for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against one idle connection per server: a round of orders left a connection open to
/// each of thousands of engines.
#[tokio::test]
async fn client_of_many_servers_keeps_few_connections() {
    let (_keep, stop) = watch::channel(false);
    let client = Client::new(RESPONSE_TIMEOUT);
    for _ in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        let answer = |_| async { Response::new(http::empty()) };
        tokio::spawn(http::serve(
            listener,
            Limits::default(),
            stop.clone(),
            answer,
        ));
        let request = Request::builder().header("host", &addr);
        let request = request.body(Full::<Bytes>::default()).unwrap();
        client.send(&addr, request, RESPONSE_TIMEOUT).await.unwrap();
    }
    assert!(
        client.idle_count() <= MAX_IDLE,
        "{} connections",
        client.idle_count()
    );
}
