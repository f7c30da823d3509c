//! Body of a response of which a start is kept before any of it is forwarded.

use super::*;

use std::rc::Rc;

/// Body of a response: the part that has been read, and the rest if that is not all.
pub(crate) struct KeptBody {
    /// Part that has been read.
    pub(crate) kept: BodyBuffer,
    /// Connection that delivers the rest; `None` if `kept` is the whole body.
    pub(crate) rest: Option<ServerResponseBody>,
}

impl KeptBody {
    /// Reads a body to its end, or until its buffer accepts no more.
    pub(crate) async fn read(
        budget: &Rc<ByteBudget>,
        mut body: ServerResponseBody,
    ) -> Result<Self, ServerCallError> {
        let mut kept = BodyBuffer::new(ByteReservation::new(budget.clone()));
        while let Some(part) = body.next().await {
            if !kept.push(&part?) {
                let rest = Some(body);
                return Ok(Self { kept, rest });
            }
        }
        Ok(Self { kept, rest: None })
    }
}
