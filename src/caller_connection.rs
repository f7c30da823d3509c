//! TCP connection of a caller that records what was read and written, and ends when it has been idle
//! for too long.

use super::*;

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

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
        let result = match Pin::new(&mut self.stream).poll_read(cx, buffer) {
            Poll::Ready(result) => result,
            Poll::Pending if !self.trace.wait_for_bytes(cx) => return Poll::Pending,
            Poll::Pending => match read_without_readiness(&self.stream, buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Poll::Ready(Ok(()));
                }
                result => result,
            },
        };
        let count = result.map(|()| buffer.filled().len() - filled);
        if has_room {
            self.trace.record_read(&count);
        }
        Poll::Ready(count.map(|_| ()))
    }
}

/// Reads what has arrived, even if the event loop has not reported it yet: a request that came just
/// before its idle connection is closed must be answered.
fn read_without_readiness(stream: &TcpStream, buffer: &mut ReadBuf<'_>) -> io::Result<()> {
    let count = rustix::io::read(stream, buffer.initialize_unfilled())?;
    buffer.advance(count);
    Ok(())
}

impl AsyncWrite for CallerConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.trace.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.trace.record_write(&result);
        result
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
