//! Server for the connections of other boxes: answers that they fetch, and requests that they
//! send through this box.

use std::rc::Rc;
use std::sync::Arc;

use ashgauge::egress::Token;
use ashgauge::reader::MAX_READER_BOXES;
use bytes::Bytes;
use http::Full;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;

use super::egress::{self, RUNS_HEADER, TOKEN_HEADER, VERSION_HEADER};
use super::fetch::{self, FetchRequest};
use super::forward;
use super::offers;
use super::request::{mark_declined, own_response};
use super::serve::{ACCEPT_RETRY_DELAY, Body, serve_connection};
use super::shared_state::SharedState;

/// Maximum number of open connections: from the boxes that a reader informs, from those that
/// switch to it when other readers fail, and for the requests of boxes that are cut off.
const MAX_CONNECTIONS: usize = 4 * MAX_READER_BOXES + 512;

/// Serves the connections of other boxes as long as the process runs.
pub async fn serve(
    shared: Rc<SharedState>,
    listener: Rc<TcpListener>,
    fetches: mpsc::Sender<FetchRequest>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let (shared, fetches) = (shared.clone(), fetches.clone());
        tokio::task::spawn_local(async move {
            let handler = move |shared, request| handle(shared, request, fetches.clone());
            serve_connection(shared, stream, handler).await;
            drop(permit);
        });
    }
}

async fn handle(
    shared: Rc<SharedState>,
    request: Request<Incoming>,
    fetches: mpsc::Sender<FetchRequest>,
) -> Response<Body> {
    if request.headers().contains_key(TOKEN_HEADER) {
        return handle_forwarded(shared, request).await;
    }
    match fetch::handle(request, &fetches).await {
        Ok(bytes) => Response::new(
            Full::<Bytes>::new(bytes)
                .map_err(|e| match e {})
                .boxed_unsync(),
        ),
        Err(status) => own_response(status, None, None),
    }
}

/// Handles a request that another box sends through this one.
async fn handle_forwarded(
    shared: Rc<SharedState>,
    mut request: Request<Incoming>,
) -> Response<Body> {
    let headers = request.headers_mut();
    let number = |value: Option<HeaderValue>| -> Option<u64> { value?.to_str().ok()?.parse().ok() };
    let token: Option<Token> = number(headers.remove(TOKEN_HEADER));
    let runs = number(headers.remove(RUNS_HEADER)).and_then(|runs| u32::try_from(runs).ok());
    let version = number(headers.remove(VERSION_HEADER));
    let is_valid = token.is_some_and(|token| {
        let tokens = shared.egress.tokens.borrow();
        tokens.is_valid(shared.now(), token)
    });
    let Some(runs) = runs.filter(|_| is_valid) else {
        egress::count(&shared, "no token");
        return own_response(StatusCode::FORBIDDEN, None, None);
    };
    if shared.stop.is_stopping.get() {
        return decline(&shared, "stopping");
    }
    if shared.inflight.get() >= offers::MAX_INFLIGHT {
        return decline(&shared, "busy");
    }
    if version.is_some_and(|version| version > shared.routing.borrow().version) {
        return decline(&shared, "older configuration");
    }
    egress::count(&shared, "served");
    forward::handle_forwarded(shared, request, runs).await
}

fn decline(shared: &SharedState, reason: &str) -> Response<Body> {
    egress::count(shared, reason);
    let response = own_response(StatusCode::SERVICE_UNAVAILABLE, None, None);
    mark_declined(response)
}
