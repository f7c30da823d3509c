//! Starts the deployed program with the command of the deploy file.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;

/// Program of the role `entry` in `deploy/system.toml`.
const PROGRAM: &str = "target/release/ebonyspread-platform";

/// `memoryMb` of the settings.
pub const MEMORY_KIB: u64 = 260 << 10;

/// `maxFds` of the settings.
const DESCRIPTORS: u32 = 4_200;

/// Below the range from which the system picks ports for outgoing connections.
const FIRST_PORT: u16 = 21_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

pub struct Instance {
    pub callers: SocketAddr,
    child: Child,
    pub status: SocketAddr,
}

impl Instance {
    /// Starts an instance; its settings and its log are written to `folder`.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Self {
        let (callers, status, peers) = (free_address(), free_address(), free_address());
        let settings = settings(name, callers, status, peers.port(), store);
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("a writable folder");
        let log = File::create(folder.join(format!("{name}.log"))).expect("a writable folder");
        // The platform limits the descriptors of each process.
        let command = format!("ulimit -n {DESCRIPTORS}; exec {PROGRAM}");
        let child = Command::new("sh")
            .args(["-c", &command])
            .env("EBONYSPREAD_CONFIG", &path)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program; build it with the command of the deploy file");
        Self {
            callers,
            child,
            status,
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Memory of the process that is in use.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    /// Returns true if the process has the limit of the settings for its descriptors.
    pub fn has_descriptor_limit(&self) -> bool {
        let limits = std::fs::read_to_string(format!("/proc/{}/limits", self.child.id()));
        let limits = limits.unwrap_or_default();
        let line = limits
            .lines()
            .find(|line| line.starts_with("Max open files"));
        let soft = line.and_then(|line| line.split_whitespace().nth(3)?.parse().ok());
        soft == Some(DESCRIPTORS)
    }

    /// Number of descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(folder).map_or(0, Iterator::count)
    }

    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: status\r\nConnection: close\r\n\r\n";
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if call(self.status, request, Duration::from_secs(1)).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn free_address() -> SocketAddr {
    let start = (std::process::id() % 40) as u16 * 100;
    loop {
        let port = FIRST_PORT + start + NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Settings of a small deployment, with the bounds of the sheet of the member services.
fn settings(
    name: &str,
    callers: SocketAddr,
    status: SocketAddr,
    peer_port: u16,
    store: SocketAddr,
) -> String {
    format!(
        "node = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
         ip = \"127.0.0.1\"\nzone = \"dc-a\"\nregion = \"r\"\nportRange = [{peer_port}, {peer_port}]\n\
         seeds = []\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\n\
         beatIntervalMs = 1200\n[zones]\ndc-a = \"r\"\n\
         [listen]\nfront = \"{callers}\"\nready = \"{status}\"\n\
         [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = {DESCRIPTORS}\n\
         [bounds]\ncontactMs = 3000\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n\
         configApplyMs = 2000\nstrictRevoke = true\nrevokeMs = 5000\nretryBudgetRatio = 0.2\n\
         budgetWindowS = 10\nretryBudgetSlack = 52\nquotaWindowS = 8\nleaseMs = 3000\n\
         usageWindowS = 5\nusageLateS = 10\n\
         [platform]\naddress = \"{store}\"\nform = \"log\"\n\
         [cloud]\naddress = \"{store}\"\n"
    )
}
