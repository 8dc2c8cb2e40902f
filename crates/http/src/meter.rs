//! Limit on the bytes that arrive without completing a part of a message.
//!
//! Heads, informational responses, sizes of chunks and trailers may go on without end while the
//! HTTP implementation delivers nothing of them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes between two parts of a message.
const MAX_OVERHEAD_BYTES: usize = 64 << 10;

/// Counts the bytes of a connection since the last part of a message. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter(Arc<AtomicUsize>);

impl Meter {
    /// Records that a part of a message is complete, or that one begins.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Returns whether more bytes have arrived than a part may have.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) > MAX_OVERHEAD_BYTES
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }
}

/// A connection that breaks once its [`Meter`] is exceeded.
#[derive(Debug)]
pub(crate) struct Metered<T> {
    inner: T,
    meter: Meter,
}

impl<T> Metered<T> {
    pub(crate) fn new(inner: T, meter: Meter) -> Self {
        Metered { inner, meter }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Metered<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.meter.add(buf.filled().len() - before);
        match self.meter.is_exceeded() {
            true => Poll::Ready(Err(io::ErrorKind::InvalidData.into())),
            false => Poll::Ready(Ok(())),
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Metered<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}

/// Body of a response that is being received. Its connection breaks if bytes arrive without end
/// that are no data.
#[derive(Debug)]
pub struct ResponseBody {
    inner: Incoming,
    meter: Meter,
}

impl ResponseBody {
    pub(crate) fn new(inner: Incoming, meter: Meter) -> Self {
        meter.reset();
        ResponseBody { inner, meter }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        self.meter.reset();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
