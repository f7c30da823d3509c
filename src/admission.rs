//! Admission of a call: reads it, finds its route and account, charges the account's limit and
//! picks a service of the route. Routes, services and accounts are configured by the operators in
//! the policy.

use super::*;

use std::rc::Rc;

use actix_http::Request;
use tokio::time::Instant as TokioInstant;

/// Timeout of a call whose caller does not send one; a shorter timeout of its route takes
/// precedence.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// `Retry-After` value sent while the instance stops: another one takes the call at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Reads and admits a request. The request id of `trace` is set as soon as the head has been
/// parsed, so that later errors can be reported under it.
pub(crate) async fn accept_call(
    serving: &Rc<ServingState>,
    mut request: Request,
    received_at: TokioInstant,
    trace: &Rc<CallTrace>,
) -> Result<Exchange> {
    let call = serving.dialect.parse_request(request.head())?;
    trace.request_id.get_or_init(|| call.request_id.clone());
    let body = read_body(&mut request, body_limit_bytes(serving)).await?;
    if serving.refuses_calls.get() {
        return Err(Error::Stopping {
            retry_after_ms: STOPPING_RETRY_AFTER.as_millis() as u64,
        });
    }
    let now = boot_time();
    let policy = serving.fresh_policy(now)?;
    let route = policy
        .route_for(&call.host, call.uri.path())
        .ok_or(Error::UnknownRoute)?
        .clone();
    let account = match &call.account_key {
        _ if route.anonymous => None,
        None => return Err(Error::UnknownKey),
        Some(key) => Some(policy.account_by_key(key).ok_or(Error::UnknownKey)?),
    };
    let time_left = call
        .time_left
        .unwrap_or(DEFAULT_CALL_TIMEOUT)
        .min(route.timeout);
    let mut units = 0.0;
    if let Some(account) = account
        && let Some(limit) = account.limit
    {
        let prompt_units = call.prompt.as_ref().map(Prompt::units);
        units = match prompt_units {
            Some(units) if limit.in_tokens => units,
            Some(_) | None => limit.plain_call_units,
        };
        serving.limits.borrow_mut().admit(now, account, units)?;
    }
    let whole = request_hash(account, &call, call.uri.query(), &body);
    let without_query = call
        .uri
        .query()
        .map(|_| request_hash(account, &call, None, &body));
    let priority = account
        .and_then(|account| account.priority)
        .unwrap_or(route.priority);
    let account = account.map(|account| account.name.clone());
    let service = pick_service(serving, &route, account.as_ref(), &call)?;
    let priorities = policy.service_priorities(&service);
    let has_priorities = priorities.is_some_and(ServicePriorities::has_several);
    Ok(Exchange {
        account,
        answer: AnswerProgress::None,
        body,
        call,
        connect_failures: 0,
        deadline: received_at + time_left,
        may_have_run: false,
        priority,
        queue_class: has_priorities.then(|| QueueClass::new(priority, route.priority)),
        received_at,
        route,
        sends: 0,
        sent_at: received_at,
        service,
        serving: serving.clone(),
        trace: trace.clone(),
        tried: SmallVec::new(),
        units,
        whole,
        without_query,
    })
}

fn body_limit_bytes(serving: &ServingState) -> usize {
    let policy_state = serving.policy.borrow();
    policy_state
        .in_force()
        .map_or(0, |policy| policy.body_max_bytes)
}

async fn read_body(request: &mut Request, limit_bytes: usize) -> Result<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| Error::BadRequest {
            reason: format!("body is incomplete: {error}; send the request again"),
        })?;
        if limit_bytes > 0 && body.len() + chunk.len() > limit_bytes {
            return Err(Error::BodyTooLarge { limit_bytes });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Hashes what is equal if the same account sends a request again: its method, host, path, `query`
/// and body.
fn request_hash(
    account: Option<&AccountPolicy>,
    call: &CallHead,
    query: Option<&str>,
    body: &[u8],
) -> PartHash {
    let account = account.map_or("", |account| account.name.as_str());
    let mut hash = xxh3_64(account.as_bytes());
    for field in [
        call.method.as_str(),
        &call.host,
        call.uri.path(),
        query.unwrap_or_default(),
    ] {
        hash = xxh3_64_with_seed(field.as_bytes(), hash);
    }
    xxh3_64_with_seed(body, hash)
}

fn pick_service(
    serving: &ServingState,
    route: &PolicyRoute,
    account: Option<&AccountName>,
    call: &CallHead,
) -> Result<ServiceName> {
    if let [(service, _)] = route.services.as_slice() {
        return Ok(service.clone());
    }
    let weights: SmallVec<[u32; 4]> = route.services.iter().map(|(_, weight)| *weight).collect();
    let usable = SmallVec::<[bool; 4]>::from_elem(true, weights.len());
    let account = account.cloned().unwrap_or_default();
    let subject = Subject::Route(route.name.clone());
    let mut splitter = serving.splitter.borrow_mut();
    let index = splitter.pick(&account, &subject, &weights, &usable, None);
    match index {
        Some(index) => Ok(route.services[index].0.clone()),
        None => Err(Error::NoBackendServer {
            subject: Subject::Route(call.uri.path().into()),
            retry_after_ms: REFUSED_RETRY_AFTER.as_millis() as u64,
        }),
    }
}
