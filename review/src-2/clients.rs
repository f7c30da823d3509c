//! Clients that come at a constant rate, each on a connection of its own, and leave it open after one
//! request. They run in helper processes, so that none needs more than the usual number of descriptors.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_response;

/// Clients of one helper process.
const CLIENTS_PER_PROCESS: u32 = 800;

/// Time for which a client waits for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(1_500);

/// Rate at which clients come, and what they send.
#[derive(Clone, Copy)]
pub struct Arrivals {
    pub body_bytes: usize,
    pub per_s: f64,
    pub time: Duration,
}

/// Helper processes. Dropping them closes all connections.
pub struct Clients {
    children: Vec<Child>,
    readers: Vec<thread::JoinHandle<Vec<u16>>>,
}

/// Text of an order.
pub fn order(id: &str, body_bytes: usize) -> String {
    format!(
        "POST /orders/a HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: 1500\r\nAuthorization: Bearer key-of-t\r\n\
         Content-Length: {body_bytes}\r\n\r\n{}",
        "b".repeat(body_bytes)
    )
}

/// Sends one order on a new connection. Returns its status, 0 if none came in time, and the
/// connection.
pub fn send_order(
    address: SocketAddr,
    id: &str,
    body_bytes: usize,
) -> (u16, Option<BufReader<TcpStream>>) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return (0, None);
    };
    let _ = stream.set_read_timeout(Some(ANSWER_TIME));
    if stream.write_all(order(id, body_bytes).as_bytes()).is_err() {
        return (0, None);
    }
    let mut reader = BufReader::new(stream);
    (read_response(&mut reader).status, Some(reader))
}

impl Clients {
    /// Starts helper processes whose clients come in turn.
    pub fn start(address: SocketAddr, arrivals: Arrivals) -> Self {
        let gap = Duration::from_secs_f64(1.0 / arrivals.per_s);
        let total = (arrivals.time.as_secs_f64() * arrivals.per_s) as u32;
        let processes = total.div_ceil(CLIENTS_PER_PROCESS);
        let program = std::env::current_exe().expect("the program");
        let mut clients = Self {
            children: Vec::new(),
            readers: Vec::new(),
        };
        for process in 0..processes {
            let child = Command::new(&program)
                .args(["clients", &address.to_string()])
                .arg((process * CLIENTS_PER_PROCESS).to_string())
                .arg((total / processes).to_string())
                .arg((gap * processes).as_micros().to_string())
                .arg(arrivals.body_bytes.to_string())
                .stdin(Stdio::null())
                .stdout(Stdio::piped())
                .spawn();
            let mut child = child.expect("a helper process");
            let output = child.stdout.take().expect("its output");
            clients.children.push(child);
            clients.readers.push(thread::spawn(move || {
                let lines = BufReader::new(output).lines().map_while(Result::ok);
                lines.filter_map(|line| line.parse().ok()).collect()
            }));
            thread::sleep(gap);
        }
        clients
    }

    /// Ends the helper processes, and returns the statuses that their clients got.
    pub fn end(mut self) -> Vec<u16> {
        self.kill();
        let readers = std::mem::take(&mut self.readers);
        let statuses = readers
            .into_iter()
            .map(|reader| reader.join().expect("a reader"));
        statuses.flatten().collect()
    }

    fn kill(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Helper process, with the number of its first client, the number of its clients, the time between
/// two of them in microseconds and the bytes of a body. Prints a status for each client and goes on
/// until it is killed.
pub fn run_helper(arguments: &[String]) -> Option<()> {
    let [address, first, count, gap_us, body_bytes] = arguments else {
        return None;
    };
    let address: SocketAddr = address.parse().ok()?;
    let (first, count): (u32, u32) = (first.parse().ok()?, count.parse().ok()?);
    let gap = Duration::from_micros(gap_us.parse().ok()?);
    let body_bytes = body_bytes.parse().ok()?;
    let began_at = Instant::now();
    let mut connections = Vec::new();
    for index in 0..count {
        thread::sleep((gap * index).saturating_sub(began_at.elapsed()));
        let (status, connection) =
            send_order(address, &format!("client-{}", first + index), body_bytes);
        connections.extend(connection);
        println!("{status}");
    }
    loop {
        thread::park();
    }
}
