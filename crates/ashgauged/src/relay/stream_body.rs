//! The body of a stream's answer, as its pump gives it out.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::serve::AbortedBody;

/// The body of a stream's answer; ends its task when it is dropped.
pub struct StreamBody {
    /// What the pump sends.
    pub chunks: mpsc::Receiver<Result<Bytes, AbortedBody>>,
    /// The pump.
    pub task: JoinHandle<()>,
}

impl HttpBody for StreamBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        let piece = self.chunks.poll_recv(cx);
        piece.map(|p| p.map(|p| p.map(Frame::data)))
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.task.abort();
    }
}
