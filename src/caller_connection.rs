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

/// Number of bytes after which a reader gets `Pending` once, so that it consumes them before it reads
/// on. The HTTP library reads all that has arrived into one buffer, and keeps that buffer at the largest
/// size that it ever had.
const READ_TURN_BYTES: usize = 8 << 10;

/// Connection that passes all operations on to a TCP connection and records them in its trace.
pub(crate) struct CallerConnection {
    /// Number of bytes read since the last `Pending`.
    read_turn_bytes: usize,
    stream: TcpStream,
    pub(crate) trace: Rc<ConnectionTrace>,
}

impl CallerConnection {
    pub(crate) fn new(stream: TcpStream, trace: Rc<ConnectionTrace>) -> Self {
        Self {
            read_turn_bytes: 0,
            stream,
            trace,
        }
    }
}

impl AsyncRead for CallerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read_turn_bytes = std::mem::take(&mut self.read_turn_bytes);
        if read_turn_bytes >= READ_TURN_BYTES {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let result = match Pin::new(&mut self.stream).poll_read(cx, buffer) {
            Poll::Ready(result) => result,
            Poll::Pending if !self.trace.wait_for_bytes(cx) => return Poll::Pending,
            // A read of no bytes ends the connection.
            Poll::Pending => match read_without_readiness(&self.stream, buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Poll::Ready(Ok(()));
                }
                result => result,
            },
        };
        let count = result.map(|()| buffer.filled().len() - filled);
        self.read_turn_bytes = read_turn_bytes + *count.as_ref().unwrap_or(&0);
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
