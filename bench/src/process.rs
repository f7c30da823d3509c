//! Measures the CPU time and memory of running processes from `/proc`, and the control traffic of
//! instances from their metrics.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::flags;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Returns the resident set size of a process in bytes.
pub fn resident_bytes(pid: u32) -> Result<u64, String> {
    let path = format!("/proc/{pid}/status");
    let status = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.map(|kib| kib * 1_024)
        .ok_or_else(|| "VmRSS is missing from /proc/PID/status".to_owned())
}

fn cpu_seconds(pid: u32) -> Result<f64, String> {
    let path = format!("/proc/{pid}/stat");
    let stat = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    // The command name may contain spaces; the numeric fields start after its closing parenthesis.
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    let sum = ticks(11).zip(ticks(12)).map(|(user, system)| user + system);
    sum.map(|ticks| ticks / TICKS_PER_S)
        .ok_or_else(|| "CPU time is missing from /proc/PID/stat".to_owned())
}

/// Prints the means over the processes: CPU time and control traffic during the interval, and
/// memory at its end.
pub fn run(options: &flags::Process) -> Result<(), String> {
    let seconds = options.seconds.unwrap_or(20);
    let before: Vec<f64> = options
        .pid
        .iter()
        .map(|pid| cpu_seconds(*pid))
        .collect::<Result<_, _>>()?;
    let bytes_before = control_bytes(&options.admin)?;
    std::thread::sleep(Duration::from_secs(seconds));
    let bytes_after = control_bytes(&options.admin)?;
    let count = options.pid.len() as f64;
    let mut cpu = 0.0;
    let mut memory = 0.0;
    for (pid, before) in options.pid.iter().zip(before) {
        cpu += cpu_seconds(*pid)? - before;
        memory += resident_bytes(*pid)? as f64;
    }
    println!(
        "| processes | CPU % of a core, mean | resident MB, mean | control B/s per node, sent and received, by kind |"
    );
    println!("|---|---|---|---|");
    let mut kinds = Vec::new();
    let mut total = 0.0;
    for (kind, after) in &bytes_after {
        let bytes = after - bytes_before.get(kind).copied().unwrap_or(0.0);
        let rate = bytes / seconds as f64 / options.admin.len().max(1) as f64;
        total += rate;
        if rate >= 0.5 {
            kinds.push(format!("{kind} {rate:.0}"));
        }
    }
    println!(
        "| {count} | {:.2} | {:.1} | {total:.0}: {} |",
        cpu / count / seconds as f64 * 100.0,
        memory / count / 1e6,
        kinds.join(", ")
    );
    Ok(())
}

/// Returns the control bytes of all instances, summed by kind and direction.
fn control_bytes(admins: &[String]) -> Result<BTreeMap<String, f64>, String> {
    let mut sums = BTreeMap::new();
    actix_rt::System::new().block_on(async {
        let client = awc::Client::default();
        for admin in admins {
            let request = client.get(format!("http://{admin}/metrics"));
            let mut response = request.send().await.map_err(|error| error.to_string())?;
            let body = response
                .body()
                .limit(1 << 20)
                .await
                .map_err(|error| error.to_string())?;
            for line in String::from_utf8_lossy(&body).lines() {
                if !line.starts_with("control_bytes_total{") {
                    continue;
                }
                let label = |name: &str| {
                    let start = line.find(&format!("{name}=\""))? + name.len() + 2;
                    line[start..].split('"').next()
                };
                let kind = label("kind").unwrap_or("?");
                let direction = label("direction").unwrap_or("?");
                let value = line
                    .rsplit(' ')
                    .next()
                    .and_then(|value| value.parse::<f64>().ok());
                *sums.entry(format!("{kind} {direction}")).or_insert(0.0) += value.unwrap_or(0.0);
            }
        }
        Ok::<(), String>(())
    })?;
    Ok(sums)
}
