//! The body of a stream's answer, as its pump gives it out.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::serve::Broken;

/// The body of a stream's answer; ends its task when it is dropped.
pub struct Pieces {
    /// What the pump sends.
    pub pieces: mpsc::Receiver<Result<Bytes, Broken>>,
    /// The pump.
    pub task: JoinHandle<()>,
}

impl HttpBody for Pieces {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let piece = self.pieces.poll_recv(cx);
        piece.map(|p| p.map(|p| p.map(Frame::data)))
    }
}

impl Drop for Pieces {
    fn drop(&mut self) {
        self.task.abort();
    }
}
