//! Case 3: a planned stop of one instance while a worker preempts streams and the other one is full.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::engine::{EVENTS, Engine};
use crate::instance::{Instance, Settings};
use crate::platform::{Platform, stream_config};
use crate::record::Record;

/// Time for which a preempted request waits: less than the 4 s (four times the aim of 1,000 ms) after
/// which clients abandon a stream.
const PAUSE: Duration = Duration::from_millis(2_500);

const DEADLINE_MS: u32 = 8_000;

/// Streams that are sent after SIGTERM, in the first second of the grace time.
const STREAMS: u32 = 8;

struct Answer {
    request: String,
    events: u32,
    whole: bool,
}

pub fn run(record: &Path, temp: &Path, trouble: bool) -> i32 {
    let record = Record::create(record);
    let platform = Platform::start();
    platform.put("keyed.op", "config", &stream_config(7));
    let engine = Engine::start(&platform, &record, "w-0", "tas-hobart", PAUSE);
    let full = Engine::start(&platform, &record, "w-1", "tas-launceston", PAUSE);
    let settings = Settings {
        name: "front-tas-hobart-1".to_owned(),
        zone: "tas-hobart".to_owned(),
        platform: platform.address,
        cloud: platform.address,
    };
    let mut instance = Instance::new(settings, temp);
    instance.start();
    if !instance.wait_ready(Duration::from_secs(20)) {
        record.say("the instance is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let front = instance.front;
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    // Usual traffic, which ends with the stop.
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..10 {
        let (ended, record) = (ended.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let mut count = 0;
            while !ended.load(Ordering::SeqCst) {
                let id = format!("usual-{number}-{count}");
                count += 1;
                if let Some(answer) = read_stream(front, &id, &record)
                    && !answer.whole
                {
                    record.line(&format!("cut      {id} after event {}", answer.events));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    thread::sleep(Duration::from_secs(12));
    ended.store(true, Ordering::SeqCst);
    for client in clients.drain(..) {
        let _ = client.join();
    }
    let begun = Instant::now();
    if trouble {
        record.say("platform: SIGTERM");
        instance.signal("-TERM");
    }
    engine.is_short.store(true, Ordering::SeqCst);
    full.is_full.store(true, Ordering::SeqCst);
    for number in 0..STREAMS {
        let (answers, record) = (answers.clone(), record.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(100 + 100 * u64::from(number)));
            let id = format!("planned-{number}");
            if let Some(answer) = read_stream(front, &id, &record) {
                answers.lock().expect("answers").push(answer);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    record.line(&format!(
        "all streams have ended {:.1} s after",
        begun.elapsed().as_secs_f64()
    ));
    let answers = answers.lock().expect("answers");
    let cut: Vec<&Answer> = answers.iter().filter(|answer| !answer.whole).collect();
    for answer in &cut {
        let at_work = engine.was_dropped(&answer.request);
        record.line(&format!(
            "cut      {} after event {} of {EVENTS}, its worker was at work: {at_work}",
            answer.request, answer.events
        ));
    }
    let lost = cut
        .iter()
        .filter(|answer| engine.was_dropped(&answer.request))
        .count();
    record.say(&format!(
        "{lost} of {} streams were cut though their worker was at work on them{}",
        answers.len(),
        if trouble {
            ", in a planned stop"
        } else {
            ", outside planned work"
        }
    ));
    // The rule counts streams around planned work only.
    i32::from(trouble && lost > 0)
}

fn read_stream(front: std::net::SocketAddr, id: &str, record: &Record) -> Option<Answer> {
    let mut client = Client::connect(front, "plans.example", "key-of-hule930")?;
    record.line(&format!("send     {id}"));
    if !client.send_stream(id, DEADLINE_MS) {
        return None;
    }
    let Some(response) = client.receive() else {
        record.line(&format!("closed   {id} without an answer"));
        return Some(Answer {
            request: id.to_owned(),
            events: 0,
            whole: false,
        });
    };
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let events = text.matches("\n\n").count() as u32;
    let is_success = response.status() == 200;
    let whole = !is_success || (response.whole && events == EVENTS);
    record.line(&format!(
        "answered {id} {} events {events} whole {}",
        response.status(),
        response.whole
    ));
    Some(Answer {
        request: id.to_owned(),
        events,
        whole,
    })
}
