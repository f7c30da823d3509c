//! Clients that leave their connections open after a request take all descriptors of the process, so
//! that it takes no new connection, although the operators' limit for idle connections is 15 s.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::clients::Arrivals;
use crate::clients::Clients;
use crate::clients::order;
use crate::clients::send_order;
use crate::deployment::Deployment;
use crate::deployment::MACHINES;
use crate::deployment::MACHINES_LEFT;
use crate::deployment::REQUESTS_PER_S;
use crate::http::read_response;
use crate::record::Record;

/// Time for which clients come before the check.
const CLIENTS_TIME: Duration = Duration::from_secs(94);

/// `contactMs`: time for which the machine may take no new connection.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Clients that try during the check; the rule asks for seven.
const TRYING: u32 = 10;

/// Time between two tries of such a client.
const TRY_GAP: Duration = Duration::from_millis(300);

/// Time that a worker needs for an order.
const WORK_TIME: Duration = Duration::from_millis(5);

/// Bytes of an order.
const BODY_BYTES: usize = 4;

/// One caller sends an order a second on a kept connection, until `until`.
fn send_kept(address: SocketAddr, until: Instant) -> Vec<(Instant, u16)> {
    let mut seen = Vec::new();
    let (_, Some(mut reader)) = send_order(address, "kept-first", BODY_BYTES) else {
        return seen;
    };
    for number in 0.. {
        let at = Instant::now();
        if at >= until {
            break;
        }
        let text = order(&format!("kept-{number}"), BODY_BYTES);
        let status = match reader.get_mut().write_all(text.as_bytes()) {
            Ok(()) => read_response(&mut reader).status,
            Err(_) => 0,
        };
        seen.push((at, status));
        thread::sleep(Duration::from_secs(1));
    }
    seen
}

/// One caller tries new connections until `until`.
fn try_new(address: SocketAddr, caller: u32, until: Instant) -> Vec<(Instant, String, u16)> {
    let mut seen = Vec::new();
    for number in 0.. {
        let at = Instant::now();
        if at >= until {
            break;
        }
        let id = format!("new-{caller}-{number}");
        let (status, _) = send_order(address, &id, BODY_BYTES);
        seen.push((at, id, status));
        thread::sleep(TRY_GAP);
    }
    seen
}

/// Asks for readiness on a connection that is kept, as the platform does once a second.
fn is_ready(reader: &mut BufReader<TcpStream>) -> bool {
    let request = "GET /ready HTTP/1.1\r\nHost: status\r\n\r\n";
    reader.get_mut().write_all(request.as_bytes()).is_ok() && read_response(reader).status == 200
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let Some(deployment) = Deployment::start_sound(scratch, WORK_TIME) else {
        return Verdict::NotRun("instance not ready");
    };
    let instance = &deployment.instance;
    if !instance.has_descriptor_limit() {
        return Verdict::NotRun("the limit of 4,200 descriptors cannot be set");
    }
    let address = instance.callers;
    let Ok(status) = TcpStream::connect(instance.status) else {
        return Verdict::NotRun("no connection for readiness");
    };
    let _ = status.set_read_timeout(Some(Duration::from_secs(1)));
    let mut status = BufReader::new(status);
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
    let until = began_at + CLIENTS_TIME + CONTACT;
    let kept = thread::spawn(move || send_kept(address, until));
    let clients = Clients::start(address, arrivals);
    while began_at.elapsed() < CLIENTS_TIME {
        thread::sleep(Duration::from_secs(1));
        if !is_ready(&mut status) {
            record.line("not ready");
        }
    }
    record.line(format!("descriptors={}", instance.descriptors()));
    let until = Instant::now() + CONTACT;
    let tries = (0..TRYING).map(|caller| thread::spawn(move || try_new(address, caller, until)));
    let tries: Vec<_> = tries.collect();
    let (mut asked, mut ready) = (0, 0);
    while Instant::now() < until {
        asked += 1;
        ready += u32::from(is_ready(&mut status));
        thread::sleep(Duration::from_secs(1));
    }
    let (mut answered, mut unanswered) = (0, 0);
    for seen in tries {
        for (at, id, status) in seen.join().expect("a caller") {
            record.line_at(
                at,
                format!("sent {id} on a new connection, status={status}"),
            );
            answered += u32::from(status > 0);
            unanswered += u32::from(status == 0);
        }
    }
    for (at, status) in kept.join().expect("a caller") {
        if at + CONTACT >= until {
            record.line_at(at, format!("order on a kept connection, status={status}"));
        }
    }
    record.line(format!("ready={ready} asked={asked} during the tries"));
    let statuses = clients.end();
    let served = statuses.iter().filter(|status| **status == 200).count();
    record.line(format!(
        "clients={} served={served}; tries on new connections: answered={answered} \
         unanswered={unanswered}",
        statuses.len(),
    ));
    match ready == asked && answered == 0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
