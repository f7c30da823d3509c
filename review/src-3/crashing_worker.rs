//! Stand-in for a worker in a process of its own, which can be killed. Its answers have neither a
//! length nor chunks and end with their connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::read_message;
use crate::http::respond;

/// Parts of an answer: pieces of a body, or events of a stream.
pub const PARTS: usize = 8;

/// Pause after each part.
const PAUSE: Duration = Duration::from_millis(100);

/// Process of the worker as the script sees it.
pub struct Process {
    pub address: SocketAddr,
    child: Child,
    reports: Arc<Mutex<Vec<String>>>,
}

impl Process {
    pub fn start(id: &str) -> Self {
        let program = std::env::current_exe().expect("a path of the own program");
        let mut child = Command::new(program)
            .args(["worker", id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut output = BufReader::new(child.stdout.take().expect("a piped output"));
        let mut line = String::new();
        output.read_line(&mut line).expect("an address");
        let address = line.trim().parse().expect("an address");
        let reports: Arc<Mutex<Vec<String>>> = Arc::default();
        let collected = reports.clone();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                collected.lock().expect("reports lock").push(line);
            }
        });
        Self {
            address,
            child,
            reports,
        }
    }

    /// Returns true if the worker has sent a number of parts of a request's answer.
    pub fn has_sent(&self, request: &str, parts: usize) -> bool {
        let reports = self.reports.lock().expect("reports lock");
        reports.contains(&format!("{request} {parts}"))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a part of an answer. `number` counts from 1.
pub fn part(is_stream: bool, number: usize) -> String {
    match is_stream {
        true => format!("id: {number}\ndata: piece {number}\n\n"),
        false => format!("{:-<100}", format!("piece {number} of {PARTS} ")),
    }
}

/// Runs the worker until it is killed.
pub fn run(id: &str) -> i32 {
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
        return 2;
    };
    let Ok(address) = listener.local_addr() else {
        return 2;
    };
    report(&address.to_string());
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(&id, stream));
    }
    0
}

fn report(line: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

fn serve(id: &str, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(input) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(input);
    let Some(request) = read_message(&mut reader) else {
        return;
    };
    let request_id = request
        .header("x-request-id")
        .unwrap_or_default()
        .to_owned();
    let headers = format!("X-Request-Id: {request_id}\r\n");
    if request
        .header("x-expect-instance")
        .is_some_and(|expected| expected != id)
    {
        respond(&mut stream, "421 Misdirected Request", &headers, b"");
        return;
    }
    let is_stream = request.path().starts_with("/plans/") || request.path().starts_with("/notes/");
    let last_event = request
        .header("last-event-id")
        .and_then(|text| text.parse().ok());
    let content_type = match is_stream {
        true => "text/event-stream",
        false => "text/plain",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}X-Response-Seal: {id}.{request_id}\r\n\
         Content-Type: {content_type}\r\nConnection: close\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    for number in last_event.unwrap_or(0) + 1..=PARTS {
        if stream
            .write_all(part(is_stream, number).as_bytes())
            .is_err()
        {
            return;
        }
        report(&format!("{request_id} {number}"));
        thread::sleep(PAUSE);
    }
}
