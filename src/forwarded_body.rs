//! Body of a response that the product's own interface forwards as it arrives.

use super::*;

use futures_util::stream::LocalBoxStream;
use tokio::time::Instant as TokioInstant;
use tokio::time::timeout;

/// Body of the response to a plain call.
pub(crate) struct ForwardedBody {
    body: ResponseStream,
    ended: bool,
    forwarded_bytes: usize,
    request_id: RequestId,
    server: ServerName,
    /// Time left to wait for the server. Time in which the caller does not read is not counted.
    server_time: Duration,
}

impl ForwardedBody {
    /// Returns the body of the caller's response. The stream fails if the server's connection
    /// breaks, at [`RESPONSE_MAX_BYTES`], and once it has waited for the server for `server_time`;
    /// the caller's connection is then closed, so that the response cannot be mistaken for a
    /// complete one.
    pub(crate) fn start(
        body: ResponseStream,
        request_id: RequestId,
        server: ServerName,
        server_time: Duration,
    ) -> LocalBoxStream<'static, Result<Bytes>> {
        let forwarded = Self {
            body,
            ended: false,
            forwarded_bytes: 0,
            request_id,
            server,
            server_time,
        };
        Box::pin(futures_util::stream::unfold(forwarded, Self::next))
    }

    async fn next(mut self) -> Option<(Result<Bytes>, Self)> {
        if self.ended {
            return None;
        }
        let waits_since = TokioInstant::now();
        let read = timeout(self.server_time, self.body.next()).await;
        self.server_time = self.server_time.saturating_sub(waits_since.elapsed());
        let reason = match read {
            Ok(Some(Ok(part))) => {
                self.forwarded_bytes += part.len();
                if self.forwarded_bytes <= RESPONSE_MAX_BYTES {
                    return Some((Ok(part), self));
                }
                too_large_reason(self.forwarded_bytes as u64)
            }
            Ok(Some(Err(error))) => error.to_string(),
            Ok(None) => return None,
            Err(_) => format!(
                "body did not end in time, after {} bytes",
                self.forwarded_bytes
            ),
        };
        self.ended = true;
        tokio::time::sleep(FLUSH_TIME).await;
        warn!(
            "attempt request={} server={} end=lost reason=\"{}\"",
            self.request_id,
            self.server,
            shorten(&reason),
        );
        let server = self.server.clone();
        Some((Err(Error::ResponseLost { reason, server }), self))
    }
}
