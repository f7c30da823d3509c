//! Settings of an entry instance, read from one TOML file.

use super::*;

const BODY_MAX_DEFAULT_BYTES: u32 = 4 << 20;
const CLAIM_BATCH_DEFAULT_MS: u32 = 10;
const CLAIM_PARTITIONS_DEFAULT: u32 = 4;
const CLAIM_WINDOW_DEFAULT_S: u32 = 3_600;
const DRAIN_DEFAULT_MS: u32 = 3_000;
const LOG_RETENTION_DEFAULT_S: u32 = 86_400;
const KEY_MIN_BYTES: usize = 16;
const WORKERS_DEFAULT: u32 = 2;

/// Checked settings.
#[derive(Debug, Clone, bon::Builder)]
pub struct Settings {
    /// Address of the administration listener.
    pub admin_address: SocketAddr,
    /// Key that the administration API asks for.
    pub admin_key: String,
    /// Longest request body.
    pub body_max_bytes: usize,
    /// Address of the callers' listener.
    pub caller_address: SocketAddr,
    /// Time that claims are gathered before one append.
    pub claim_batch: Duration,
    /// Number of claim streams in the log service.
    pub claim_partitions: u32,
    /// Age up to which a key is accepted.
    pub claim_window: Duration,
    /// Data centre of this instance.
    pub data_centre: DataCentreName,
    /// Time between "not ready" and the end of the listeners.
    pub drain: Duration,
    /// Name of this instance, unique.
    pub instance: InstanceName,
    /// Level of the log.
    pub log_level: log::LevelFilter,
    /// Time for which the log service keeps records.
    pub log_retention: Duration,
    /// Address of the peers' listener.
    pub peer_address: SocketAddr,
    /// Key that instances show each other.
    pub peer_key: String,
    /// Peer addresses known at the start.
    pub peers: Vec<SocketAddr>,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Region of the data centre.
    pub region: SmolStr,
    /// Threads of the callers' listener.
    pub workers: usize,
}

impl Settings {
    /// Refuses settings that contradict each other.
    fn check(&self) -> Result {
        if self.claim_window + KEY_SKEW_MAX * 2 > self.log_retention {
            return Err(Error::SettingsInvalid {
                column: "claim_window_s",
                reason: format!(
                    "log_retention_s must be at least claim_window_s plus {} s; lower the window",
                    (KEY_SKEW_MAX * 2).as_secs()
                ),
            });
        }
        Ok(())
    }

    /// Reads and checks a settings file.
    pub fn load(path: &str) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|error| Error::FileRead {
            path: path.to_owned(),
            reason: error.to_string(),
        })?;
        let file: wire::Settings = toml::from_str(&text).map_err(|error| Error::Toml {
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
            peers.push(address("peers", peer)?);
        }
        let log_level = match file.log_level.as_str() {
            "" => log::LevelFilter::Info,
            level => level.parse().map_err(|_| Error::SettingsInvalid {
                column: "log_level",
                reason: "write off, error, warn, info, debug or trace".to_owned(),
            })?,
        };
        let settings = Self::builder()
            .admin_address(address("admin_address", &file.admin_address)?)
            .admin_key(secret("admin_key", file.admin_key)?)
            .body_max_bytes(or_default(file.body_max_bytes, BODY_MAX_DEFAULT_BYTES) as usize)
            .caller_address(address("caller_address", &file.caller_address)?)
            .claim_batch(millis(or_default(
                file.claim_batch_ms,
                CLAIM_BATCH_DEFAULT_MS,
            )))
            .claim_partitions(or_default(file.claim_partitions, CLAIM_PARTITIONS_DEFAULT))
            .claim_window(seconds(or_default(
                file.claim_window_s,
                CLAIM_WINDOW_DEFAULT_S,
            )))
            .data_centre(name("data_centre", file.data_centre)?)
            .drain(millis(or_default(file.drain_ms, DRAIN_DEFAULT_MS)))
            .instance(name("instance", file.instance)?)
            .log_level(log_level)
            .log_retention(seconds(or_default(
                file.log_retention_s,
                LOG_RETENTION_DEFAULT_S,
            )))
            .peer_address(address("peer_address", &file.peer_address)?)
            .peer_key(secret("peer_key", file.peer_key)?)
            .peers(peers)
            .platform_url(name("platform_url", file.platform_url)?.to_string())
            .region(file.region.into())
            .workers(or_default(file.workers, WORKERS_DEFAULT) as usize)
            .build();
        settings.check()?;
        Ok(settings)
    }
}

fn address(column: &'static str, text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| Error::SettingsInvalid {
        column,
        reason: format!(
            "write an IP number and port in place of {:?}",
            shorten(text)
        ),
    })
}

fn millis(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}

fn name(column: &'static str, text: String) -> Result<SmolStr> {
    if text.is_empty() {
        return Err(Error::SettingsInvalid {
            column,
            reason: "is missing; add it".to_owned(),
        });
    }
    Ok(text.into())
}

fn or_default(given: u32, default: u32) -> u32 {
    match given {
        0 => default,
        given => given,
    }
}

fn seconds(count: u32) -> Duration {
    Duration::from_secs(u64::from(count))
}

fn secret(column: &'static str, text: String) -> Result<String> {
    if text.len() < KEY_MIN_BYTES {
        return Err(Error::SettingsInvalid {
            column,
            reason: format!("write a random key of at least {KEY_MIN_BYTES} characters"),
        });
    }
    Ok(text)
}
