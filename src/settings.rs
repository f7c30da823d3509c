//! Settings of an entry instance (a process that accepts callers' requests), read from one TOML
//! file.

use super::*;

const DEFAULT_BODY_MAX_BYTES: u32 = 4 << 20;
const DEFAULT_CLAIM_BATCH_MS: u32 = 10;
const DEFAULT_CLAIM_PARTITIONS: u32 = 4;
const DEFAULT_CLAIM_WINDOW_S: u32 = 3_600;
const DEFAULT_DRAIN_MS: u32 = 3_000;
const DEFAULT_LOG_RETENTION_S: u32 = 86_400;
const DEFAULT_WORKERS: u32 = 2;
const MIN_KEY_BYTES: usize = 16;

/// Validated settings of an entry instance. A number that is 0 or missing in the file is replaced
/// by its default.
#[derive(Debug, Clone, bon::Builder)]
pub struct Settings {
    /// Address of the administration listener, which also serves readiness checks and metrics.
    pub admin_address: SocketAddr,
    /// Key that authorizes requests to the administration API; at least 16 bytes.
    pub admin_key: String,
    /// Maximum size of a caller's request body in bytes; 4 MiB by default.
    pub body_max_bytes: usize,
    /// Address on which callers' requests are accepted.
    pub caller_address: SocketAddr,
    /// Time for which claims (reservations of idempotency keys) are collected into one append to
    /// the log; 10 ms by default.
    pub claim_batch: Duration,
    /// Number of claim streams in the log service, over which idempotency keys are distributed; 4
    /// by default.
    pub claim_partitions: u32,
    /// Maximum age of an accepted idempotency key by its timestamp; one hour by default.
    pub claim_window: Duration,
    /// Data centre in which this instance runs; servers in the same one count as local.
    pub data_centre: DataCentreName,
    /// Time between reporting "not ready" and stopping the listener for callers in a graceful stop;
    /// 3 s by default.
    pub drain: Duration,
    /// Name of this instance, unique in the deployment; peers know it by this name.
    pub instance: InstanceName,
    /// Least severe level of this crate that is logged; `info` by default.
    pub log_level: log::LevelFilter,
    /// Time for which the log service retains records; one day by default. At least `claim_window`
    /// plus twice the tolerated clock difference.
    pub log_retention: Duration,
    /// Address on which connections of other instances are accepted.
    pub peer_address: SocketAddr,
    /// Key that all instances share and present to each other; at least 16 bytes.
    pub peer_key: String,
    /// Peer addresses of other instances, contacted to join the membership.
    pub peers: Vec<SocketAddr>,
    /// Base URL of the platform, which provides the log service, the instance list and reclaim
    /// notices.
    pub platform_url: String,
    /// Region of the data centre; informational, nothing in this crate reads it.
    pub region: SmolStr,
    /// Number of threads that handle callers' requests; 2 by default.
    pub workers: usize,
}

impl Settings {
    /// Checks that the log retains claims for the whole time in which their keys are accepted.
    fn validate(&self) -> Result {
        if self.claim_window + KEY_SKEW_MAX * 2 > self.log_retention {
            return Err(Error::InvalidSetting {
                field: "claim_window_s",
                reason: format!(
                    "log_retention_s must be at least claim_window_s plus {} s; lower the window",
                    (KEY_SKEW_MAX * 2).as_secs()
                ),
            });
        }
        Ok(())
    }

    /// Reads and validates a settings file. Fails with [`Error::FileRead`], [`Error::Parse`] or
    /// [`Error::InvalidSetting`].
    pub fn load(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|error| Error::FileRead {
            path: path.to_owned(),
            reason: error.to_string(),
        })?;
        let file: wire::Settings = toml::from_str(&text).map_err(|error| Error::Parse {
            what: "settings",
            reason: error.to_string(),
        })?;
        Self::try_from(file)
    }
}

impl TryFrom<wire::Settings> for Settings {
    type Error = Error;

    fn try_from(file: wire::Settings) -> Result<Self> {
        let mut peers = Vec::new();
        for peer in &file.peers {
            peers.push(parse_address("peers", peer)?);
        }
        let log_level = match file.log_level.as_str() {
            "" => log::LevelFilter::Info,
            level => level.parse().map_err(|_| Error::InvalidSetting {
                field: "log_level",
                reason: "must be off, error, warn, info, debug or trace".to_owned(),
            })?,
        };
        let settings = Self::builder()
            .admin_address(parse_address("admin_address", &file.admin_address)?)
            .admin_key(require_secret("admin_key", file.admin_key)?)
            .body_max_bytes(or_default(file.body_max_bytes, DEFAULT_BODY_MAX_BYTES) as usize)
            .caller_address(parse_address("caller_address", &file.caller_address)?)
            .claim_batch(millis(or_default(
                file.claim_batch_ms,
                DEFAULT_CLAIM_BATCH_MS,
            )))
            .claim_partitions(or_default(file.claim_partitions, DEFAULT_CLAIM_PARTITIONS))
            .claim_window(seconds(or_default(
                file.claim_window_s,
                DEFAULT_CLAIM_WINDOW_S,
            )))
            .data_centre(require_text("data_centre", file.data_centre)?)
            .drain(millis(or_default(file.drain_ms, DEFAULT_DRAIN_MS)))
            .instance(require_text("instance", file.instance)?)
            .log_level(log_level)
            .log_retention(seconds(or_default(
                file.log_retention_s,
                DEFAULT_LOG_RETENTION_S,
            )))
            .peer_address(parse_address("peer_address", &file.peer_address)?)
            .peer_key(require_secret("peer_key", file.peer_key)?)
            .peers(peers)
            .platform_url(require_text("platform_url", file.platform_url)?.to_string())
            .region(file.region.into())
            .workers(or_default(file.workers, DEFAULT_WORKERS) as usize)
            .build();
        settings.validate()?;
        Ok(settings)
    }
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| Error::InvalidSetting {
        field,
        reason: format!("{:?} is not an IP address and port", shorten(text)),
    })
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}

fn require_text(field: &'static str, text: String) -> Result<SmolStr> {
    if text.is_empty() {
        return Err(Error::InvalidSetting {
            field,
            reason: "is required".to_owned(),
        });
    }
    Ok(text.into())
}

fn or_default(value: u32, default: u32) -> u32 {
    match value {
        0 => default,
        value => value,
    }
}

fn seconds(count: u32) -> Duration {
    Duration::from_secs(u64::from(count))
}

fn require_secret(field: &'static str, text: String) -> Result<String> {
    if text.len() < MIN_KEY_BYTES {
        return Err(Error::InvalidSetting {
            field,
            reason: format!("must be a random key of at least {MIN_KEY_BYTES} bytes"),
        });
    }
    Ok(text)
}
