//! Body of a streamed response, as its forwarder fills it.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::serve::AbortedBody;

/// Body of a streamed response. Dropping it ends the forwarder's task.
pub struct StreamBody {
    /// Chunks from the forwarder.
    pub chunks: mpsc::Receiver<Result<Bytes, AbortedBody>>,
    /// Task of the forwarder.
    pub task: JoinHandle<()>,
}

impl HttpBody for StreamBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        let chunk = self.chunks.poll_recv(cx);
        chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.task.abort();
    }
}
