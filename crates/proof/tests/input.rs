//! Invalid, oversized and slow requests get a clear error at once and do not
//! affect other requests. The operator port and the box-to-box port reject calls
//! without their credential.

use std::time::Duration;

use eyre::Result;
use http::{Client, Full};
use hyper::{Method, Request};
use proof::{BoxPlan, Fleet, Node, OPERATOR, PEER, Plan, Reply, text_of};
use serde_json::{Value, json};
use standin::model::reference;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn plan() -> Plan {
    let settings =
        json!({"limits": {"body_bytes": 4096, "head_ms": 300, "body_ms": 300, "tokens": 64}});
    Plan {
        boxes: vec![BoxPlan { settings }],
        ..Plan::default()
    }
}

/// Checks the status, kind and outcome of an error, and that it has a message
/// and a remedy.
fn assert_error(reply: &Reply, status: u16, kind: &str) {
    assert_eq!(reply.status, status, "{}", reply.body);
    assert_eq!(reply.outcome, "not_run");
    let body: Value = serde_json::from_str(&reply.body).expect("an error is JSON");
    let error = &body["error"];
    assert_eq!(error["kind"], kind, "{body}");
    for field in ["message", "remedy"] {
        assert!(
            error[field].as_str().is_some_and(|s| s.len() > 5),
            "{field}: {body}"
        );
    }
}

async fn assert_works(fleet: &Fleet) -> Result<()> {
    let reply = fleet.boxes[0].complete("fine", 3, &[]).await?;
    assert_eq!(
        text_of(&reply),
        reference(fleet.layers, "fine", 3),
        "{}",
        reply.body
    );
    Ok(())
}

async fn send_raw(node: &Node, bytes: &[u8]) -> Result<String> {
    let mut stream = TcpStream::connect(&node.caller).await?;
    stream.write_all(bytes).await?;
    let mut answer = Vec::new();
    // The box closes the connection; a read error counts as the end too.
    let read = stream.read_to_end(&mut answer);
    tokio::time::timeout(Duration::from_secs(20), read)
        .await?
        .ok();
    Ok(String::from_utf8_lossy(&answer).into())
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_cannot_be_served_get_specific_errors() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    let node = &fleet.boxes[0];
    let path = "/v1/completions";
    let good = r#"{"model":"chat","prompt":"x"}"#;
    let reply = node
        .post(path, good, &[("authorization", "Bearer wrong")])
        .await?;
    assert_error(&reply, 401, "unauthorized");
    let reply = node
        .post(path, good, &[("authorization", "Basic abc")])
        .await?;
    assert_error(&reply, 401, "unauthorized");
    let reply = node
        .post(path, r#"{"model":"none","prompt":"x"}"#, &[])
        .await?;
    assert_error(&reply, 404, "unknown_route");
    let reply = node.post("/nothing/here", "x", &[]).await?;
    assert_error(&reply, 404, "unknown_route");
    for body in [
        "",
        "{",
        "[]",
        r#"{"model":"chat"}"#,
        r#"{"model":1,"prompt":"x"}"#,
        "\u{0}\u{1}",
    ] {
        let reply = node.post(path, body, &[]).await?;
        assert_error(&reply, 400, "bad_request");
    }
    let reply = node
        .post(path, r#"{"model":"chat","prompt":""}"#, &[])
        .await?;
    assert_error(&reply, 400, "bad_request");
    let reply = node.complete("x", 65, &[]).await?;
    assert_error(&reply, 400, "bad_request");
    let reply = node.complete(&"x".repeat(5000), 1, &[]).await?;
    assert_error(&reply, 413, "bad_request");
    let reply = node.send(Method::DELETE, path, "", &[]).await?;
    assert_error(&reply, 405, "bad_method");
    let reply = node
        .complete("x", 1, &[("ashgauge-timeout-ms", "soon")])
        .await?;
    assert_error(&reply, 400, "bad_request");
    let long = "k".repeat(200);
    let reply = node.complete("x", 1, &[("idempotency-key", &long)]).await?;
    assert_error(&reply, 400, "bad_key");
    assert_works(&fleet).await
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_and_slow_requests_are_closed_and_affect_no_others() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    let node = &fleet.boxes[0];
    let garbage = send_raw(
        node,
        b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n\xff\xfe\r\n\r\n",
    )
    .await?;
    assert!(
        garbage.is_empty() || garbage.starts_with("HTTP/1.1 400"),
        "{garbage}"
    );
    // A request head and a request body that are never completed.
    let head = send_raw(
        node,
        b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-slow: ",
    );
    let body = send_raw(
        node,
        b"POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer payroll-key\r\ncontent-length: 900\r\n\r\n{",
    );
    let (head, body, works) = tokio::join!(head, body, assert_works(&fleet));
    assert!(!head?.contains("200 OK"));
    let body = body?;
    assert!(body.starts_with("HTTP/1.1 408"), "{body}");
    works?;
    let huge = format!(
        "GET /healthz HTTP/1.1\r\nhost: x\r\nx-big: {}\r\n\r\n",
        "a".repeat(100_000)
    );
    let huge = send_raw(node, huge.as_bytes()).await?;
    assert!(!huge.contains("200 OK"), "{huge}");
    assert_works(&fleet).await
}

async fn status_of(
    addr: &str,
    path: &str,
    method: Method,
    bearer: Option<&str>,
    body: &str,
) -> Result<u16> {
    let mut request = Request::new(Full::new(bytes::Bytes::from(body.to_string())));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse()?;
    request.headers_mut().insert("host", "box".parse()?);
    request
        .headers_mut()
        .insert("content-type", "application/json".parse()?);
    if let Some(bearer) = bearer {
        request
            .headers_mut()
            .insert("authorization", format!("Bearer {bearer}").parse()?);
    }
    let client = Client::new(Duration::from_secs(2));
    let answer = client.send(addr, request, Duration::from_secs(5)).await?;
    Ok(answer.status().as_u16())
}

#[tokio::test(flavor = "multi_thread")]
async fn ports_reject_calls_without_their_credential() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    let node = &fleet.boxes[0];
    let calls = [
        ("/v1/table", Method::GET),
        ("/v1/status", Method::GET),
        ("/v1/events", Method::GET),
        ("/v1/boxes", Method::GET),
        ("/v1/edits", Method::POST),
        ("/v1/drain", Method::POST),
    ];
    for (path, method) in &calls {
        for bearer in [None, Some("wrong-credential"), Some(PEER), Some(proof::KEY)] {
            let status = status_of(&node.operator, path, method.clone(), bearer, "{}").await?;
            assert_eq!(status, 401, "{path} with {bearer:?}");
        }
        // The caller port does not serve operator paths, even with the credential.
        let status = status_of(&node.caller, path, method.clone(), Some(OPERATOR), "{}").await?;
        assert!(matches!(status, 401 | 404), "{path}: {status}");
    }
    let call = json!({"jsonrpc": "2.0", "id": 1, "method": "deliver", "params": [{}]}).to_string();
    for bearer in [None, Some("wrong"), Some(OPERATOR)] {
        let status = status_of(&node.peer, "/", Method::POST, bearer, &call).await?;
        assert_eq!(status, 401);
    }
    assert_eq!(
        status_of(&node.peer, "/", Method::POST, Some(PEER), &call).await?,
        200
    );
    assert!(!fleet.boxes[0].operator_client().status().await?.draining);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn probes_and_metrics_answer() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    let node = &fleet.boxes[0];
    assert_works(&fleet).await?;
    assert_eq!(
        status_of(&node.caller, "/healthz", Method::GET, None, "").await?,
        200
    );
    assert_eq!(
        status_of(&node.caller, "/readyz", Method::GET, None, "").await?,
        200
    );
    let reply = proof::get(&node.operator, "/metrics").await?;
    assert!(reply.contains("ashgauge_tokens_total 3"), "{reply}");
    assert!(reply.contains("ashgauge_table_version 1"), "{reply}");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn expired_deadline_is_answered_with_504() -> Result<()> {
    let fleet = Fleet::start(plan()).await?;
    for engine in &fleet.engines {
        engine.process.signal("STOP")?;
    }
    let reply = fleet.boxes[0]
        .complete("x", 3, &[("ashgauge-timeout-ms", "200")])
        .await?;
    assert_eq!(reply.status, 504, "{}", reply.body);
    assert_eq!(reply.outcome, "unknown");
    for engine in &fleet.engines {
        engine.process.signal("CONT")?;
    }
    Ok(())
}
