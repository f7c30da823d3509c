//! Checks servers whose connections broke, and reports the requests that ran there as possible
//! causes if they have ended.

use super::*;

use std::rc::Rc;

/// Records that a server's connection broke while it ran a request; `report` makes the report of it.
/// Has no effect if the server is leaving or no longer registered, since its connections then break
/// for that reason.
pub(crate) fn suspect_crash(
    serving: &Rc<ServingState>,
    request: &RequestId,
    server: &ServerName,
    report: impl FnOnce(Duration, &ServerProcess) -> CrashReport,
) {
    let Some(process) = serving.fleet.borrow().process_of(server) else {
        return;
    };
    let now = boot_time();
    let broken = BrokenRequest {
        report: report(now, &process),
        request: request.clone(),
    };
    let is_new = serving.broken_servers.borrow_mut().add(now, server, broken);
    if is_new {
        actix_rt::spawn(check_server(serving.clone(), server.clone(), process));
    }
}

async fn check_server(serving: Rc<ServingState>, server: ServerName, process: ServerProcess) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let checked_at = boot_time();
        let result = check_once(&serving, &server, &process).await;
        let outcome = {
            let mut broken = serving.broken_servers.borrow_mut();
            broken.apply(checked_at, &server, result)
        };
        match outcome {
            CheckOutcome::CheckAgain => {}
            CheckOutcome::Ended(requests) => {
                info!(
                    "ended server={server} by={} requests={}",
                    result.as_str(),
                    requests.len()
                );
                for request in requests {
                    serving.record_crash(&request.request, &server, request.report);
                }
                return;
            }
            CheckOutcome::NotEnded(requests) => {
                debug!(
                    "running server={server} by={} requests={requests}",
                    result.as_str()
                );
                return;
            }
        }
    }
}

async fn check_once(
    serving: &Rc<ServingState>,
    server: &ServerName,
    process: &ServerProcess,
) -> CheckResult {
    let since = serving.broken_servers.borrow().last_break_at(server);
    {
        let fleet = serving.fleet.borrow();
        match fleet.process_of(server) {
            None => return CheckResult::Gone,
            Some(current) if current.crash != process.crash => return CheckResult::Restarted,
            Some(_) => {}
        }
        if since.is_some_and(|since| fleet.has_answered_call_sent_after(since, server)) {
            return CheckResult::Answered;
        }
    }
    let target = ConnectionTarget {
        address: process.address,
        server: server.clone(),
    };
    serving.connections.check(target).await
}
