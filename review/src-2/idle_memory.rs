//! The buffers of idle connections keep the size of the requests that came on them. Clients that leave
//! their connections open after a request take the process over its memory, although none of their
//! requests is in progress and the operators' limit for idle connections is 15 s.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::clients::Arrivals;
use crate::clients::Clients;
use crate::clients::order;
use crate::deployment::Deployment;
use crate::deployment::MACHINES;
use crate::deployment::MACHINES_LEFT;
use crate::deployment::REQUESTS_PER_S;
use crate::http::read_response;
use crate::record::Record;

/// `memoryMb` of the settings.
const MEMORY_KIB: u64 = 260 << 10;

/// Bytes of a request: below the largest of the site file's first kind of request (110,000).
const BODY_BYTES: usize = 100_000;

/// Time for which clients come.
const CLIENTS_TIME: Duration = Duration::from_secs(70);

/// Other callers, who send one order after the other on a kept connection.
const CALLERS: u32 = 12;

/// Time that a worker needs for an order.
const WORK_TIME: Duration = Duration::from_millis(30);

/// Requests of kept connections that may lose their connection, by the rule.
const LOST_MAX: usize = 3;

/// What the other callers saw.
#[derive(Default)]
struct Seen {
    answered: u32,
    /// Orders on kept connections that ended without an answer.
    unanswered: Vec<(Instant, String)>,
}

fn send_orders(caller: u32, address: SocketAddr, seen: &Mutex<Seen>, is_over: &AtomicBool) {
    let mut connection: Option<BufReader<TcpStream>> = None;
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("order-{caller}-{number}");
        let kept = connection.take();
        let is_kept = kept.is_some();
        let opened = kept.or_else(|| TcpStream::connect(address).ok().map(BufReader::new));
        let Some(mut reader) = opened else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let response = match reader.get_mut().write_all(order(&id, 4).as_bytes()) {
            Ok(()) => read_response(&mut reader),
            Err(_) => continue,
        };
        let mut seen = seen.lock().expect("lock");
        match response.status {
            0 if is_kept => seen.unanswered.push((Instant::now(), id)),
            0 => {}
            _ => {
                seen.answered += 1;
                connection = Some(reader);
            }
        }
    }
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let Some(mut deployment) = Deployment::start_sound(scratch, WORK_TIME) else {
        return Verdict::NotRun("instance not ready; it needs 4,200 descriptors");
    };
    let address = deployment.instance.callers;
    let (seen, is_over) = (Arc::<Mutex<Seen>>::default(), Arc::<AtomicBool>::default());
    for caller in 0..CALLERS {
        let (seen, is_over) = (seen.clone(), is_over.clone());
        thread::spawn(move || send_orders(caller, address, &seen, &is_over));
    }
    let machines = match has_trouble {
        true => MACHINES_LEFT,
        false => MACHINES,
    };
    let arrivals = Arrivals {
        body_bytes: BODY_BYTES,
        per_s: REQUESTS_PER_S / machines,
        time: CLIENTS_TIME,
    };
    record.line(format!("from now {:.1} clients a second", arrivals.per_s));
    let began_at = Instant::now();
    let clients = Clients::start(address, arrivals);
    let mut peak_kib = 0;
    let mut noted_s = 0;
    let mut is_killed = false;
    while !is_killed && began_at.elapsed() < CLIENTS_TIME {
        let Some(kib) = deployment.instance.memory_kib() else {
            return Verdict::NotRun("memory of the process is not known");
        };
        peak_kib = kib.max(peak_kib);
        if began_at.elapsed().as_secs() >= noted_s {
            let descriptors = deployment.instance.descriptors();
            record.line(format!(
                "memory={} MiB descriptors={descriptors}",
                kib >> 10
            ));
            noted_s += 5;
        }
        if kib > MEMORY_KIB {
            record.line(format!(
                "the platform kills the process at {} MiB",
                kib >> 10
            ));
            deployment.instance.kill();
            is_killed = true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    let statuses = clients.end();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let seen = seen.lock().expect("lock");
    let mut lost = 0;
    for (at, id) in &seen.unanswered {
        let has_run = deployment.has_run(id);
        record.line_at(
            *at,
            format!("{id} has no answer, run by a worker={has_run}"),
        );
        lost += usize::from(has_run);
    }
    record.line(format!(
        "clients={} served={served} peak={} MiB killed={is_killed}; orders answered={} lost={lost}",
        statuses.len(),
        peak_kib >> 10,
        seen.answered,
    ));
    match lost > LOST_MAX {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
