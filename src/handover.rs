//! Hands accepted model calls of a stopping instance to others, and takes them over.

use super::*;

use std::rc::Rc;
use std::sync::atomic::Ordering;

/// Time for a call to give its state.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

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

/// Goes on with a call of another instance. Returns false if it cannot be taken here.
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
        // The caller came back before the hand-over and its call runs here already.
        Ok(Some(_)) => return true,
        Err(_) => return false,
    }
    let ask = placement_request(&request, state.account.clone(), state.request_id.clone());
    let Ok(placement) = context.admit(ask.clone(), true).await else {
        return false;
    };
    context.counts.taken_over.fetch_add(1, Ordering::Relaxed);
    info!(
        "take-over request={} tokens={}",
        state.request_id,
        state.tokens()
    );
    let start = CallStart {
        ask,
        control: control_receiver,
        dispatcher: Rc::new(Dispatcher::new()),
        has_key: true,
        request,
        sink: None,
        state,
    };
    spawn_call(context, start, placement);
    true
}

/// Hands all calls of this instance over. Returns how many were taken and how many were not.
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
                // The call ended in the meantime.
                return None;
            };
            let taken = peers.send(HandOverCall(state)).await.unwrap_or(false);
            // The call's task may have given up waiting.
            let _ = moved.send(());
            Some(taken)
        }));
    }
    let (mut taken, mut lost) = (0, 0);
    for task in tasks {
        match task.await {
            Ok(Some(true)) => taken += 1,
            Ok(Some(false)) => lost += 1,
            Ok(None) | Err(_) => {}
        }
    }
    (taken, lost)
}

/// Stops a call here and returns what another instance needs to go on. The call's callers are let
/// go when the sender is used or dropped.
pub async fn detach_call(
    control: &mpsc::Sender<CallControl>,
) -> Option<(CallState, oneshot::Sender<()>)> {
    let (reply, state) = oneshot::channel();
    let (moved_sender, moved) = oneshot::channel();
    let hand_over = CallControl::HandOver { moved, reply };
    control.send(hand_over).await.ok()?;
    let state = tokio::time::timeout(RELEASE_TIMEOUT, state).await;
    Some((state.ok()?.ok()?, moved_sender))
}
