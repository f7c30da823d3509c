//! Polls backend servers for their load, and the platform for leaving servers, which it will
//! withdraw, and for the notice that it will reclaim this instance.

use super::*;

use std::rc::Rc;

/// Interval between two polls of the same backend server or platform endpoint; [`poll_interval`]
/// doubles it for servers in large data centres.
const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Largest number of live members of a data centre in which servers are polled at every
/// [`POLL_INTERVAL`].
const SMALL_DATA_CENTRE_MAX_MEMBERS: usize = 10;

/// Timeout for one poll, shorter than [`POLL_INTERVAL`]; a failed poll is repeated only at the next
/// interval.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Response of a backend server's `/load`; missing fields count as 0 and false.
#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
struct LoadResponse {
    leaving: bool,
    queued: u32,
    running: u32,
}

/// Entry of the platform's list of backend server instances; the state `leaving` means that the
/// server will be withdrawn.
#[derive(Deserialize)]
struct ListedInstance {
    name: ServerName,
    state: SmolStr,
}

/// Spawns the polling tasks on the current thread; they end when the shutdown token is cancelled.
pub fn start_polling(context: &Arc<Context>) {
    let servers_context = context.clone();
    actix_rt::spawn(async move { poll_servers(servers_context).await });
    let list_context = context.clone();
    actix_rt::spawn(async move { poll_instance_list(list_context).await });
    let notice_context = context.clone();
    actix_rt::spawn(async move { poll_notice(notice_context).await });
}

/// Polls the backend servers assigned to this instance once per interval and announces their load
/// to the other members of its data centre in one message.
async fn poll_servers(context: Arc<Context>) {
    let dispatcher = Rc::new(Dispatcher::new());
    while !context.shutdown.is_cancelled() {
        let in_force = context.table.load_full();
        let names = in_force
            .table
            .servers
            .iter()
            .map(|server| server.name.clone())
            .collect();
        let polled = context
            .peers
            .send(GetPolledServers(names))
            .await
            .unwrap_or_default();
        tokio::time::sleep(poll_interval(polled.members)).await;
        let mut polls = Vec::new();
        for server in &in_force.table.servers {
            if !polled.servers.contains(&server.name) {
                continue;
            }
            let (context, dispatcher) = (context.clone(), dispatcher.clone());
            let name = server.name.clone();
            let url = format!("http://{}/load", server.address);
            polls.push(actix_rt::spawn(async move {
                poll_server(&context, &dispatcher, name, &url).await
            }));
        }
        let mut loads = Vec::new();
        for poll in polls {
            loads.extend(poll.await.ok().flatten());
        }
        if !loads.is_empty() {
            context.peers.do_send(Announce::Loads(loads));
        }
    }
}

/// Interval between two polls of a server. Load messages are sent to every member, so large data
/// centres poll at twice the interval.
fn poll_interval(members: usize) -> Duration {
    match members <= SMALL_DATA_CENTRE_MAX_MEMBERS {
        true => POLL_INTERVAL,
        false => POLL_INTERVAL * 2,
    }
}

async fn poll_server(
    context: &Context,
    dispatcher: &Dispatcher,
    server: ServerName,
    url: &str,
) -> Option<(ServerName, LoadReport)> {
    let Ok((200, body)) = dispatcher.fetch(url, POLL_TIMEOUT).await else {
        return None;
    };
    context
        .metrics
        .control("load_report", "received", body.len());
    let load: LoadResponse = serde_json::from_slice(&body).ok()?;
    let report = LoadReport {
        queued: load.queued,
        running: load.running,
    };
    context.router.do_send(ReportLoad {
        report,
        server: server.clone(),
    });
    context.router.do_send(SetLeaving {
        is_detected_here: true,
        leaving: load.leaving,
        server: server.clone(),
        source: LeavingSource::Server,
    });
    Some((server, report))
}

/// Response of the platform with the notice that this instance will be reclaimed in `left_ms`
/// milliseconds.
#[derive(Deserialize)]
struct ReclaimNoticeResponse {
    left_ms: u64,
}

/// Polls the platform for a reclaim notice for this instance, and ends after the first one.
async fn poll_notice(context: Arc<Context>) {
    let dispatcher = Dispatcher::new();
    let platform_url = context.settings.platform_url.trim_end_matches('/');
    let url = format!("{platform_url}/cloud/notice/{}", context.settings.instance);
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    while !context.shutdown.is_cancelled() {
        interval.tick().await;
        let Ok((200, body)) = dispatcher.fetch(&url, POLL_TIMEOUT).await else {
            continue;
        };
        if let Ok(notice) = serde_json::from_slice::<ReclaimNoticeResponse>(&body) {
            context.stop_within(Duration::from_millis(notice.left_ms));
            return;
        }
    }
}

async fn poll_instance_list(context: Arc<Context>) {
    let dispatcher = Dispatcher::new();
    let url = format!(
        "{}/instances",
        context.settings.platform_url.trim_end_matches('/')
    );
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    while !context.shutdown.is_cancelled() {
        interval.tick().await;
        let Ok((200, body)) = dispatcher.fetch(&url, POLL_TIMEOUT).await else {
            continue;
        };
        context
            .metrics
            .control("instance_list", "received", body.len());
        let Ok(listed) = serde_json::from_slice::<Vec<ListedInstance>>(&body) else {
            continue;
        };
        for instance in listed {
            context.router.do_send(SetLeaving {
                is_detected_here: true,
                leaving: instance.state == "leaving",
                server: instance.name,
                source: LeavingSource::InstanceList,
            });
        }
    }
}
