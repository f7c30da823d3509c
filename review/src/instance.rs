//! Processes of the project's program, as the platform runs them.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http::read_response;

/// Values of the settings file that differ between cases; the others are those of DEPLOY.md.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub platform: SocketAddr,
    pub cloud: SocketAddr,
}

pub struct Instance {
    pub settings: Settings,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    ip: String,
    peer_port: u16,
    child: Option<Child>,
    directory: PathBuf,
    program: String,
    has_run: bool,
}

/// Ports from which [`free_port`] chooses: below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 20_000..31_000;

/// Finds a port that is free for TCP and for UDP, for which the program uses the same number.
pub fn free_port(ip: &str) -> u16 {
    static CHOSEN: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id() % 1_000) as u16 * 11;
    loop {
        let number = CHOSEN.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + (offset + number) % (PORTS.end - PORTS.start);
        if TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

/// Command of the deploy file.
fn deploy_command() -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"));
    let line = line.expect("a role with a command");
    line.split('"').nth(1).expect("the command").to_owned()
}

impl Instance {
    pub fn new(settings: Settings, directory: &Path) -> Self {
        let ip = "127.0.0.1".to_owned();
        let address = |port: u16| SocketAddr::new(ip.parse().expect("address"), port);
        Self {
            front: address(free_port(&ip)),
            ready: address(free_port(&ip)),
            peer_port: free_port(&ip),
            ip,
            settings,
            child: None,
            directory: directory.to_owned(),
            program: deploy_command(),
            has_run: false,
        }
    }

    pub fn start(&mut self) {
        let path = self.directory.join(format!("{}.toml", self.settings.name));
        fs::write(&path, self.text()).expect("settings file");
        let log = self.directory.join(format!("{}.log", self.settings.name));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("log");
        let mut words = self.program.split(' ');
        let child = Command::new(words.next().expect("program"))
            .args(words)
            .env("EBONYSPREAD_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn()
            .expect("the program; run the build of the deploy file first");
        self.child = Some(child);
        self.has_run = true;
    }

    fn text(&self) -> String {
        let s = &self.settings;
        format!(
            "node = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"tas\"\n\
             portRange = [{peer},{peer}]\nseeds = []\nbootstrap = {bootstrap}\n\
             inTolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             beatIntervalMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"quota\",\"leader\",\"platform\"]\n\
             [zones]\ntas-hobart = \"tas\"\ntas-launceston = \"tas\"\ntas-devonport = \"tas\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4200\n\
             linkMbps = 1000.0\ndiskMb = 0\n\
             [tolerate]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n\
             catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\n\
             downgradeSlackMs = 250\nskewMaxMs = 5000\nstrictRevoke = true\nrevokeMs = 5000\n\
             retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 52\n\
             quotaWindowS = 8\nquotaOverage = 0.1\nquotaSlack = 72000\nrequireFence = false\n\
             leaseMs = 3000\nthawSlackMs = 300\nusageWindowS = 5\nusageOff = 0.05\n\
             usageLateS = 10\nrecoverS = 12\npassMs = 120\nretryAfterS = 9.1\n\
             [platform]\naddress = \"{platform}\"\nform = \"log\"\nwritesPerS = 400\n\
             readsPerS = 2000\nparts = 16\nappendMs = 3.0\npartitionMbS = 20.0\n\
             readMbS = 80.0\nrecordBytes = 262144\ncallBytes = 2097152\nkeep_s = 300\n\
             partitionMb = 200\nttlMinMs = 1000\n\
             [cloud]\naddress = \"{cloud}\"\nratePerS = 50.0\n\
             duties = [\"usage_report\",\"scale\"]\ndutiesPerS = 50.0\n",
            name = s.name,
            ip = self.ip,
            zone = s.zone,
            peer = self.peer_port,
            bootstrap = !self.has_run,
            front = self.front,
            ready = self.ready,
            platform = s.platform,
            cloud = s.cloud,
        )
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the process, by its id.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill")
            .args([signal, &self.pid().to_string()])
            .status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns true if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/ready").is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Anonymous memory of the process in MB: without its program file and without what the kernel
    /// holds for its sockets.
    pub fn memory_mb(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        kilobytes.unwrap_or_default() / 1_024.0
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn get(address: SocketAddr, path: &str) -> io::Result<u16> {
    use std::io::Write;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_millis(900)))?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: status\r\nConnection: close\r\n\r\n"
    )?;
    let response = read_response(&mut stream, &mut Vec::new());
    response
        .map(|response| response.status())
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
