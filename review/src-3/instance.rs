//! Process of the deployed program, with the settings of a small deployment.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// Command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/ebonyspread-platform";

/// Signals that stop a process and continue it, on Linux.
pub const STOP: i32 = 19;
pub const CONTINUE: i32 = 18;

pub struct Instance {
    pub callers: SocketAddr,
    child: Child,
}

impl Instance {
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Self {
        let (callers, ready) = (free_address(), free_address());
        let settings = settings(name, callers, ready, store);
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("a writable temporary folder");
        let child = spawn(folder, name);
        Self { callers, child }
    }

    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process of an instance.
    pub fn signal(process: u32, signal: i32) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        // SAFETY: `kill` of the C library takes two integers and has no further conditions.
        unsafe {
            kill(process as i32, signal);
        }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(folder: &Path, name: &str) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")));
    Command::new(PROGRAM)
        .env_clear()
        .env("EBONYSPREAD_CONFIG", folder.join(format!("{name}.toml")))
        .stdin(Stdio::null())
        .stdout(log.expect("a writable temporary folder"))
        .stderr(Stdio::null())
        .spawn()
        .expect("the deployed program is built")
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound listener")
}

fn settings(name: &str, callers: SocketAddr, ready: SocketAddr, store: SocketAddr) -> String {
    let peer = free_address().port();
    format!(
        "node = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
         ip = \"127.0.0.1\"\nzone = \"dc-a\"\nregion = \"r\"\nportRange = [{peer}, {peer}]\n\
         bootstrap = true\nbeatIntervalMs = 1200\n\
         [zones]\ndc-a = \"r\"\n\
         [listen]\nfront = \"{callers}\"\nready = \"{ready}\"\n\
         [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4200\nlinkMbps = 1000.0\n\
         [bounds]\ncontactMs = 3000\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n\
         configApplyMs = 2000\ndowngradeSlackMs = 250\nstrictRevoke = true\nrevokeMs = 5000\n\
         retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 52\nquotaWindowS = 8\n\
         quotaOverage = 0.1\nquotaSlack = 72000\nrequireFence = false\nleaseMs = 3000\n\
         thawSlackMs = 300\nusageWindowS = 5\nusageOff = 0.05\nusageLateS = 10\n\
         [platform]\naddress = \"{store}\"\nform = \"log\"\nwritesPerS = 400\nreadsPerS = 2000\n\
         recordBytes = 262144\nkeep_s = 20\npartitionMb = 200\n\
         [cloud]\naddress = \"{store}\"\nratePerS = 50.0\ndutiesPerS = 50.0\n\
         duties = [\"usage_report\", \"scale\"]\n"
    )
}
