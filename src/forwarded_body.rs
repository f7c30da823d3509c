//! Body of a response that the product's own interface forwards as it arrives.

use super::*;

use futures_util::stream::LocalBoxStream;
use tokio::time::Instant as TokioInstant;

/// Minimum time between two parts of a body that counts as the caller's, who has to read before more
/// is written. A shorter one is what writing a part takes.
const CALLER_PAUSE_MIN: Duration = Duration::from_millis(5);

/// Body of the response to a plain call.
pub(crate) struct ForwardedBody {
    body: ResponseStream,
    context: Arc<Context>,
    ended: bool,
    /// Time at which the last part was handed over to be written to the caller.
    forwarded_at: TokioInstant,
    forwarded_bytes: usize,
    placement: Placement,
    /// True if the end of the body shows that it is complete.
    proves_end: bool,
    route_request: RouteRequest,
    /// Time left for the rest of the body. Time in which the caller does not read is not counted.
    time_left: Duration,
    status: u16,
}

impl ForwardedBody {
    /// Returns the body of the caller's response. The stream fails if the server's connection
    /// breaks, at [`RESPONSE_MAX_BYTES`], and once the body has taken `body_time`; the caller's
    /// connection is then closed, so that the response cannot be mistaken for a complete one.
    pub(crate) fn start(
        context: Arc<Context>,
        route_request: RouteRequest,
        placement: Placement,
        response: PlainResponse,
        body_time: Duration,
    ) -> LocalBoxStream<'static, Result<Bytes>> {
        let forwarded = Self {
            body: response.body,
            context,
            ended: false,
            forwarded_at: TokioInstant::now(),
            forwarded_bytes: 0,
            placement,
            proves_end: !response.ends_with_connection,
            route_request,
            time_left: body_time,
            status: response.status,
        };
        Box::pin(futures_util::stream::unfold(forwarded, Self::next))
    }

    async fn next(mut self) -> Option<(Result<Bytes>, Self)> {
        if self.ended {
            return None;
        }
        let counted_from = match self.forwarded_at.elapsed() < CALLER_PAUSE_MIN {
            true => self.forwarded_at,
            false => TokioInstant::now(),
        };
        let read = before(counted_from + self.time_left, self.body.next()).await;
        self.forwarded_at = TokioInstant::now();
        let taken = self.forwarded_at - counted_from;
        self.time_left = self.time_left.saturating_sub(taken);
        let reason = match read {
            Some(Some(Ok(part))) => {
                self.forwarded_bytes += part.len();
                if self.forwarded_bytes <= RESPONSE_MAX_BYTES {
                    return Some((Ok(part), self));
                }
                too_large_reason(self.forwarded_bytes as u64)
            }
            Some(Some(Err(error))) => {
                if is_closed(&error) {
                    self.context.router.do_send(RecordCrash {
                        placement: self.placement.clone(),
                        route_request: self.route_request.clone(),
                    });
                }
                error.to_string()
            }
            Some(None) => {
                if self.proves_end {
                    record_whole_answer(&self.context, &self.route_request, self.status);
                }
                return None;
            }
            None => format!(
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
