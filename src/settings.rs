//! Settings of an entry instance, read from one TOML file.

use super::*;

const DEFAULT_BODY_MAX_BYTES: u32 = 4 << 20;
const DEFAULT_CLAIM_BATCH_MS: u32 = 10;
const DEFAULT_CLAIM_PARTITIONS: u32 = 4;
const DEFAULT_CLAIM_WINDOW_S: u32 = 3_600;
const DEFAULT_DRAIN_MS: u32 = 3_000;
const DEFAULT_LOG_RETENTION_S: u32 = 86_400;
const DEFAULT_WORKERS: u32 = 2;
const MIN_KEY_BYTES: usize = 16;

/// Validated settings of an entry instance.
#[derive(Debug, Clone, bon::Builder)]
pub struct Settings {
    /// Address of the administration listener.
    pub admin_address: SocketAddr,
    /// Key that authorizes requests to the administration API.
    pub admin_key: String,
    /// Maximum size of a request body in bytes.
    pub body_max_bytes: usize,
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Time for which claims are collected into one append.
    pub claim_batch: Duration,
    /// Number of claim streams in the log service.
    pub claim_partitions: u32,
    /// Maximum age of an accepted idempotency key.
    pub claim_window: Duration,
    /// Data centre of this instance.
    pub data_centre: DataCentreName,
    /// Time between reporting "not ready" and stopping the listener for callers.
    pub drain: Duration,
    /// Unique name of this instance.
    pub instance: InstanceName,
    /// Log level.
    pub log_level: log::LevelFilter,
    /// Time for which the log service retains records.
    pub log_retention: Duration,
    /// Address of the listener for peers.
    pub peer_address: SocketAddr,
    /// Shared key with which instances authenticate to each other.
    pub peer_key: String,
    /// Addresses of the initial peers.
    pub peers: Vec<SocketAddr>,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Region of the data centre.
    pub region: SmolStr,
    /// Number of worker threads of the callers' listener.
    pub workers: usize,
}

impl Settings {
    /// Checks that the settings are consistent with each other.
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

    /// Reads and validates a settings file.
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
