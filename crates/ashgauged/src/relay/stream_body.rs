//! Body of a streamed response, as its forwarder fills it.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::serve::AbortedBody;

/// Body of a streamed response. Dropping it ends the forwarder's task.
pub struct StreamBody {
    /// Chunks from the forwarder.
    chunks: mpsc::Receiver<Result<Bytes, AbortedBody>>,
    /// Task of the forwarder.
    task: JoinHandle<()>,
    has_ended: bool,
}

impl StreamBody {
    /// Creates a body of the chunks that a task forwards.
    pub fn new(chunks: mpsc::Receiver<Result<Bytes, AbortedBody>>, task: JoinHandle<()>) -> Self {
        StreamBody {
            chunks,
            task,
            has_ended: false,
        }
    }
}

impl HttpBody for StreamBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        if let Some(chunk) = ready!(self.chunks.poll_recv(cx)) {
            return Poll::Ready(Some(chunk.map(Frame::data)));
        }
        let end = ready!(Pin::new(&mut self.task).poll(cx));
        self.has_ended = true;
        // The chunks also end if the task panics; the response must not look complete then.
        Poll::Ready(end.err().map(|_| Err(AbortedBody)))
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.task.abort();
    }
}
