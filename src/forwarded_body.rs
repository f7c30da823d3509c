//! Body of a response that the product's own interface forwards as it arrives.

use super::*;

use futures_util::stream::LocalBoxStream;
use tokio::time::Instant as TokioInstant;
use tokio::time::timeout;

/// Body of the response to a plain call.
pub(crate) struct ForwardedBody {
    body: ResponseStream,
    context: Arc<Context>,
    ended: bool,
    forwarded_bytes: usize,
    placement: Placement,
    /// True if the end of the body shows that it is complete.
    proves_end: bool,
    route_request: RouteRequest,
    /// Time left to wait for the server. Time in which the caller does not read is not counted.
    server_time: Duration,
    status: u16,
}

impl ForwardedBody {
    /// Returns the body of the caller's response. The stream fails if the server's connection
    /// breaks, at [`RESPONSE_MAX_BYTES`], and once it has waited for the server for `server_time`;
    /// the caller's connection is then closed, so that the response cannot be mistaken for a
    /// complete one.
    pub(crate) fn start(
        context: Arc<Context>,
        route_request: RouteRequest,
        placement: Placement,
        response: PlainResponse,
        server_time: Duration,
    ) -> LocalBoxStream<'static, Result<Bytes>> {
        let forwarded = Self {
            body: response.body,
            context,
            ended: false,
            forwarded_bytes: 0,
            placement,
            proves_end: !response.ends_with_connection,
            route_request,
            server_time,
            status: response.status,
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
            Ok(Some(Err(error))) => {
                if is_closed(&error) {
                    self.context.router.do_send(RecordCrash {
                        placement: self.placement.clone(),
                        route_request: self.route_request.clone(),
                    });
                }
                error.to_string()
            }
            Ok(None) => {
                if self.proves_end {
                    record_whole_answer(&self.context, &self.route_request, self.status);
                }
                return None;
            }
            Err(_) => format!(
                "body did not end in time, after {} bytes",
                self.forwarded_bytes
            ),
        };
        self.ended = true;
        tokio::time::sleep(FLUSH_TIME).await;
        warn!(
            "attempt request={} server={} end=lost reason=\"{}\"",
            self.route_request.request_id,
            self.placement.server.name,
            shorten(&reason),
        );
        let server = self.placement.server.name.clone();
        Some((Err(Error::ResponseLost { reason, server }), self))
    }
}
