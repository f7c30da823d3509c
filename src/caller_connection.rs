//! TCP connection of a caller that records for the log what was read and written.

use super::*;

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Connection that passes all operations on to a TCP connection and records them in its trace.
pub(crate) struct CallerConnection {
    stream: TcpStream,
    pub(crate) trace: Rc<ConnectionTrace>,
}

impl CallerConnection {
    pub(crate) fn new(stream: TcpStream, trace: Rc<ConnectionTrace>) -> Self {
        Self { stream, trace }
    }
}

impl AsyncRead for CallerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        let count = result.map(|()| buffer.filled().len() - filled);
        if has_room {
            self.trace.record_read(&count);
        }
        Poll::Ready(count.map(|_| ()))
    }
}

impl AsyncWrite for CallerConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
        self.trace.record_write(&result);
        Poll::Ready(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices));
        self.trace.record_write(&result);
        Poll::Ready(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
