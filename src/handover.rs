//! Hands the accepted model calls of a stopping instance over to other instances, and resumes calls
//! that other instances hand over.

use super::*;

use std::rc::Rc;
use std::sync::atomic::Ordering;

/// Maximum time for a call to return its state; a call that takes longer is not handed over.
const DETACH_TIMEOUT: Duration = Duration::from_millis(500);

impl From<&CallState> for wire::Handover {
    fn from(state: &CallState) -> Self {
        let mut token_bytes = Vec::with_capacity(state.end_offsets.len());
        let mut start = 0;
        for end in &state.end_offsets {
            token_bytes.push(end - start);
            start = *end;
        }
        Self {
            account: state.account.to_string(),
            session: state.session.to_string(),
            request_id: state.request_id.to_string(),
            body: state.body.to_vec(),
            text: state.text.clone(),
            token_bytes,
            finish_reason: state.finish_reason.clone().unwrap_or_default().to_string(),
        }
    }
}

impl From<wire::Handover> for CallState {
    fn from(handover: wire::Handover) -> Self {
        let mut end_offsets = Vec::with_capacity(handover.token_bytes.len());
        let mut end = 0;
        for bytes in handover.token_bytes {
            end += bytes;
            end_offsets.push(end);
        }
        let finish_reason = match handover.finish_reason.as_str() {
            "" => None,
            reason => Some(reason.into()),
        };
        Self {
            account: handover.account.into(),
            body: handover.body.into(),
            end_offsets,
            finish_reason,
            request_id: handover.request_id.into(),
            session: handover.session.into(),
            text: handover.text,
        }
    }
}

/// Resumes a call handed over by another instance. Returns false if this instance cannot run it.
pub async fn take_over(context: Arc<Context>, state: CallState) -> bool {
    if context.is_draining() {
        return false;
    }
    let in_force = context.table.load_full();
    let Ok(request) = ChatRequest::parse(&in_force.table, &state.body) else {
        return false;
    };
    let (control, control_receiver) = mpsc::channel(CONTROL_CAPACITY);
    let open = OpenSession {
        content_hash: request.content_hash,
        control,
        key: (state.account.clone(), state.session.clone()),
    };
    match context.open_session(open).await {
        Ok(None) => {}
        // The caller reconnected before the hand-over, and its call already runs here.
        Ok(Some(_)) => return true,
        Err(_) => return false,
    }
    let route_request =
        placement_request(&request, state.account.clone(), state.request_id.clone());
    let Ok(placement) = context.admit(route_request.clone(), true).await else {
        return false;
    };
    context.counts.taken_over.fetch_add(1, Ordering::Relaxed);
    info!(
        "take-over request={} tokens={}",
        state.request_id,
        state.tokens()
    );
    let start = CallStart {
        route_request,
        control: control_receiver,
        dispatcher: Rc::new(Dispatcher::new()),
        has_key: true,
        may_have_run: true,
        request,
        sink: None,
        state,
    };
    spawn_call(context, start, placement);
    true
}

/// Hands over all calls of this instance. Returns the number of calls that were accepted by other
/// instances and the number that were not and continue here; calls that ended or did not return
/// their state are in neither.
pub async fn hand_over_all(context: &Arc<Context>) -> (usize, usize) {
    let sessions = context
        .sessions
        .send(TakeSessions)
        .await
        .unwrap_or_default();
    let mut tasks = Vec::new();
    for control in sessions {
        let peers = context.peers.clone();
        tasks.push(actix_rt::spawn(async move {
            let Some((state, moved)) = detach_call(&control).await else {
                // The call has ended, or it did not return its state in time.
                return None;
            };
            let taken = peers.send(HandOverCall(state)).await.unwrap_or(false);
            // An error only means that the call's task has stopped waiting.
            let _ = moved.send(taken);
            Some(taken)
        }));
    }
    let (mut taken, mut not_taken) = (0, 0);
    for task in tasks {
        match task.await {
            Ok(Some(true)) => taken += 1,
            Ok(Some(false)) => not_taken += 1,
            Ok(None) | Err(_) => {}
        }
    }
    (taken, not_taken)
}

/// Pauses a call and returns its state for another instance to resume from, or `None` if the call
/// has ended or does not respond in time. The call ends here, and its callers are disconnected, when
/// true is sent with the returned sender; it continues if false is sent, the sender is dropped or a
/// timeout expires.
pub async fn detach_call(
    control: &mpsc::Sender<CallControl>,
) -> Option<(CallState, oneshot::Sender<bool>)> {
    let (reply, state) = oneshot::channel();
    let (moved_sender, moved) = oneshot::channel();
    let hand_over = CallControl::HandOver { moved, reply };
    control.send(hand_over).await.ok()?;
    let state = tokio::time::timeout(DETACH_TIMEOUT, state).await;
    Some((state.ok()?.ok()?, moved_sender))
}
