//! Requests to a box as a caller sends them, and their responses.

use std::time::Duration;

use bytes::Bytes;
use eyre::Result;
use http::{Client, Full};
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};

use crate::fleet::Node;

/// Time-out for a complete response.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// A response to a caller.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of the `ashgauge-outcome` header; empty if there is none.
    pub outcome: String,
    /// Value of the `retry-after` header.
    pub retry_after: Option<String>,
    /// Response body; invalid UTF-8 is replaced.
    pub body: String,
}

/// Returns the generated text of a completion, streamed or not.
pub fn text_of(reply: &Reply) -> String {
    let chunk = |value: &Value| {
        let choice = &value["choices"][0];
        let parts = [
            &choice["text"],
            &choice["delta"]["content"],
            &choice["message"]["content"],
        ];
        parts.iter().filter_map(|p| p.as_str()).collect::<String>()
    };
    if let Ok(value) = serde_json::from_str::<Value>(&reply.body) {
        return chunk(&value);
    }
    let data = reply.body.lines().filter_map(|l| l.strip_prefix("data: "));
    let values = data.filter_map(|d| serde_json::from_str::<Value>(d).ok());
    values.map(|v| chunk(&v)).collect()
}

/// Returns the outcome of a response: from its header, else from the last
/// stream event that carries one. Empty if there is none.
pub fn outcome(reply: &Reply) -> String {
    if !reply.outcome.is_empty() {
        return reply.outcome.clone();
    }
    for data in reply
        .body
        .lines()
        .rev()
        .filter_map(|l| l.strip_prefix("data: "))
    {
        let Ok(value) = serde_json::from_str::<Value>(data) else {
            continue;
        };
        let found = [&value["ashgauge_outcome"], &value["error"]["outcome"]];
        if let Some(word) = found.iter().find_map(|v| v.as_str()) {
            return word.into();
        }
    }
    String::new()
}

impl Node {
    /// Requests a completion of the model `chat` in one response.
    pub async fn complete(
        &self,
        prompt: &str,
        tokens: u32,
        headers: &[(&str, &str)],
    ) -> Result<Reply> {
        let body = json!({"model": "chat", "prompt": prompt, "max_tokens": tokens});
        self.post("/v1/completions", &body.to_string(), headers)
            .await
    }

    /// Requests a streamed completion and reads the stream to its end.
    pub async fn stream(
        &self,
        prompt: &str,
        tokens: u32,
        headers: &[(&str, &str)],
    ) -> Result<Reply> {
        let body = json!({"model": "chat", "prompt": prompt, "max_tokens": tokens, "stream": true});
        self.post("/v1/completions", &body.to_string(), headers)
            .await
    }

    /// Posts a body with the first team's key, unless `headers` set another.
    pub async fn post(&self, path: &str, body: &str, headers: &[(&str, &str)]) -> Result<Reply> {
        self.send(Method::POST, path, body, headers).await
    }

    /// Sends a request to this box's caller port.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Result<Reply> {
        send_to(&self.caller, method, path, body, headers).await
    }
}

/// Posts a body to the caller port at `addr` with the first team's key.
pub async fn post(addr: &str, path: &str, body: &str) -> Result<Reply> {
    send_to(addr, Method::POST, path, body, &[]).await
}

/// Sends a `GET` request to `addr` and returns the response body. It carries
/// the first team's key and no operator credential.
pub async fn get(addr: &str, path: &str) -> Result<String> {
    let reply = send_to(addr, Method::GET, path, "", &[]).await?;
    Ok(reply.body)
}

async fn send_to(
    addr: &str,
    method: Method,
    path: &str,
    body: &str,
    headers: &[(&str, &str)],
) -> Result<Reply> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse()?;
    let map = request.headers_mut();
    map.insert("host", "box".parse()?);
    map.insert("authorization", format!("Bearer {}", crate::KEY).parse()?);
    for (name, value) in headers {
        let name: hyper::header::HeaderName = name.parse()?;
        map.insert(name, value.parse()?);
    }
    let client = Client::new(Duration::from_secs(2));
    let answer = client.send(addr, request, ANSWER_TIMEOUT).await?;
    let header = |name: &str| {
        let value = answer.headers().get(name);
        value.and_then(|v| v.to_str().ok()).map(String::from)
    };
    Ok(Reply {
        status: answer.status(),
        outcome: header("ashgauge-outcome").unwrap_or_default(),
        retry_after: header("retry-after"),
        body: String::from_utf8_lossy(answer.body()).into(),
    })
}
