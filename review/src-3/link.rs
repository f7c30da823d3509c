//! Proxy in front of an instance that passes on as many bytes a second as the instance's link.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 32 << 10;

/// Time at which the link is free again.
type Link = Arc<Mutex<Instant>>;

/// Starts the proxy and returns its address.
pub fn start(instance: SocketAddr, bytes_per_s: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let link: Link = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let link = link.clone();
            thread::spawn(move || {
                let _ = pass_on(client, instance, link, bytes_per_s);
            });
        }
    });
    address
}

fn pass_on(
    client: TcpStream,
    instance: SocketAddr,
    link: Link,
    bytes_per_s: f64,
) -> std::io::Result<()> {
    let server = TcpStream::connect(instance)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (mut from_client, mut to_server) = (client.try_clone()?, server.try_clone()?);
    let upward = thread::spawn(move || {
        let mut piece = vec![0; PIECE_BYTES];
        while let Ok(count @ 1..) = from_client.read(&mut piece) {
            if to_server.write_all(&piece[..count]).is_err() {
                break;
            }
        }
        let _ = to_server.shutdown(Shutdown::Both);
    });
    let (mut from_server, mut to_client) = (server, client);
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(count @ 1..) = from_server.read(&mut piece) {
        let free_at = {
            let mut free_at = link.lock().expect("link lock");
            let time = Duration::from_secs_f64(count as f64 / bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(free_at.saturating_duration_since(Instant::now()));
        if to_client.write_all(&piece[..count]).is_err() {
            break;
        }
    }
    let _ = to_client.shutdown(Shutdown::Both);
    let _ = upward.join();
    Ok(())
}
