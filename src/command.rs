//! The command-line interface `ebonyspread` for operators. The table is the list of backend
//! servers, models, routes and client accounts that all instances apply.

use super::*;

use std::process::ExitCode;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Validates, shows and edits the table, and shows the status of instances.
        ///
        /// Exit codes: 0 success, 1 failure, 2 invalid arguments, 3 edit conflict.
        cmd ebonyspread {
            /// Print JSON.
            optional --json
            /// Validate a settings file, a table file, or both.
            cmd check {
                /// Settings file of an entry instance.
                optional --settings settings: String
                /// Table file.
                optional --table table: String
            }
            /// Show or edit the table.
            cmd table {
                /// Show the table in the log service.
                cmd show {
                    /// Base URL of the platform.
                    required --platform platform: String
                }
                /// Publish a table file.
                cmd publish {
                    /// Table file.
                    required file: String
                    /// Base URL of the platform.
                    required --platform platform: String
                    /// Table version that the edit is based on; the version in force by default.
                    optional --base base: u64
                    /// Operator name to record in the history.
                    optional --operator operator: String
                }
                /// List accepted edits.
                cmd history {
                    /// Base URL of the platform.
                    required --platform platform: String
                }
            }
            /// Show the status of entry instances.
            cmd status {
                /// Administration address of an instance; can be repeated.
                repeated --admin admin: String
                /// Administration key; defaults to the environment variable EBONYSPREAD_ADMIN_KEY.
                optional --key key: String
            }
            /// Stop sending new calls to a backend server; the given instances inform the others.
            cmd drain {
                /// Name of the backend server.
                required server: String
                /// Administration address of an instance; can be repeated.
                repeated --admin admin: String
                /// Administration key; defaults to the environment variable EBONYSPREAD_ADMIN_KEY.
                optional --key key: String
                /// End the drain.
                optional --undo
            }
            /// List or release quarantined content.
            cmd quarantine {
                /// Administration address of an instance; can be repeated.
                repeated --admin admin: String
                /// Administration key; defaults to the environment variable EBONYSPREAD_ADMIN_KEY.
                optional --key key: String
                /// Hash of the content to release.
                optional --release release: String
            }
        }
    }
}

use flags::EbonyspreadCmd;
use flags::TableCmd;

/// Exit code for an edit that was rejected because another edit was accepted first.
const EXIT_CONFLICT: u8 = 3;

/// Timeout for each request; a command sends one request to every `--admin` address.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Parses the process arguments, runs the command, prints an error to standard error and returns
/// the exit code that the help text lists.
pub fn run() -> ExitCode {
    let flags = flags::Ebonyspread::from_env_or_exit();
    start_logging(log::LevelFilter::Warn);
    let system = actix_rt::System::new();
    let result = system.block_on(execute(flags));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            match error {
                Error::TableConflict { .. } => ExitCode::from(EXIT_CONFLICT),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

async fn execute(flags: flags::Ebonyspread) -> Result {
    let json = flags.json;
    match flags.subcommand {
        EbonyspreadCmd::Check(check) => run_check(json, check),
        EbonyspreadCmd::Drain(drain) => run_drain(json, drain).await,
        EbonyspreadCmd::Quarantine(quarantine) => run_quarantine(json, quarantine).await,
        EbonyspreadCmd::Status(status) => run_status(json, status).await,
        EbonyspreadCmd::Table(table) => match table.subcommand {
            TableCmd::History(history) => run_history(json, history).await,
            TableCmd::Publish(publish) => run_publish(json, publish).await,
            TableCmd::Show(show) => run_show(json, show).await,
        },
    }
}

fn print(json: bool, value: &Json, text: &str) {
    match json {
        true => println!("{value}"),
        false => println!("{text}"),
    }
}

fn run_check(json: bool, check: flags::Check) -> Result {
    if check.settings.is_none() && check.table.is_none() {
        return Err(Error::BadRequest {
            reason: "specify --settings, --table or both".to_owned(),
        });
    }
    if let Some(path) = &check.settings {
        let settings = Settings::load(path)?;
        let value = serde_json::json!({ "settings": "ok", "instance": settings.instance });
        print(
            json,
            &value,
            &format!("settings of {} are valid", settings.instance),
        );
    }
    if let Some(path) = &check.table {
        let (_, table) = check_table_text(&read_file(path)?)?;
        let rows = [
            ("backend servers", table.servers.len()),
            ("models and routes", table.variants.len()),
            ("client accounts", table.client_accounts.len()),
        ];
        let text: Vec<String> = rows
            .iter()
            .map(|(kind, count)| format!("{count} {kind}"))
            .collect();
        let value = serde_json::json!({ "table": "ok", "rows": text });
        print(
            json,
            &value,
            &format!("table is valid: {}", text.join(", ")),
        );
    }
    Ok(())
}

async fn run_show(json: bool, show: flags::Show) -> Result {
    let table_log = read_table_log(&LogClient::new(&show.platform)).await?;
    let rows = table_log.rows();
    let value = serde_json::json!({ "version": table_log.version(), "rows": rows });
    let text = toml::to_string(rows).map_err(|error| Error::Parse {
        what: "table",
        reason: error.to_string(),
    })?;
    print(
        json,
        &value,
        &format!("# version {}\n{text}", table_log.version()),
    );
    Ok(())
}

async fn run_publish(json: bool, publish: flags::Publish) -> Result {
    let (rows, _) = check_table_text(&read_file(&publish.file)?)?;
    let log = LogClient::new(&publish.platform);
    let operator = publish.operator.unwrap_or_else(default_operator);
    let version = publish::publish(&log, &operator, publish.base, &rows).await?;
    let value = serde_json::json!({ "version": version });
    print(json, &value, &format!("accepted as version {version}"));
    Ok(())
}

async fn run_history(json: bool, history: flags::History) -> Result {
    let table_log = read_table_log(&LogClient::new(&history.platform)).await?;
    let edits: Vec<&EditSummary> = table_log.history().collect();
    let mut text = String::new();
    for edit in &edits {
        let _ = writeln!(
            text,
            "version {} at {} ms by {}: {}",
            edit.version,
            edit.time_ms,
            edit.operator,
            edit.rows.join(", ")
        );
    }
    print(json, &serde_json::json!(edits), text.trim_end());
    Ok(())
}

async fn run_status(json: bool, status: flags::Status) -> Result {
    let admin = AdminClient::new(status.key)?;
    for address in &status.admin {
        let value = admin.call("GET", address, "/admin/status").await?;
        print(json, &value, &status_line(address, &value));
    }
    Ok(())
}

fn status_line(address: &str, value: &Json) -> String {
    let field = |name: &str| value.get(name).cloned().unwrap_or_default().to_string();
    format!(
        "{address} instance={} data_centre={} table_version={} draining={}",
        field("instance"),
        field("data_centre"),
        field("table_version"),
        field("draining")
    )
}

async fn run_drain(json: bool, drain: flags::Drain) -> Result {
    let admin = AdminClient::new(drain.key)?;
    let method = if drain.undo { "DELETE" } else { "POST" };
    for address in &drain.admin {
        let path = format!("/admin/servers/{}/drain", drain.server);
        let changed = admin.call(method, address, &path).await?;
        let value = serde_json::json!({ "address": address, "changed": changed });
        print(json, &value, &format!("{address} changed={changed}"));
    }
    Ok(())
}

async fn run_quarantine(json: bool, quarantine: flags::Quarantine) -> Result {
    let admin = AdminClient::new(quarantine.key)?;
    for address in &quarantine.admin {
        let value = match &quarantine.release {
            Some(hash) => {
                admin
                    .call("DELETE", address, &format!("/admin/quarantine/{hash}"))
                    .await?
            }
            None => admin.call("GET", address, "/admin/quarantine").await?,
        };
        print(json, &value, &format!("{address} {value}"));
    }
    Ok(())
}

fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|error| Error::FileRead {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

fn default_operator() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())
}

struct AdminClient {
    client: awc::Client,
    key: String,
}

impl AdminClient {
    fn new(key: Option<String>) -> Result<Self> {
        let key = key.or_else(|| std::env::var("EBONYSPREAD_ADMIN_KEY").ok());
        Ok(Self {
            client: awc::Client::builder().timeout(ADMIN_TIMEOUT).finish(),
            key: key.ok_or(Error::InvalidAdminKey)?,
        })
    }

    async fn call(&self, method: &str, address: &str, path: &str) -> Result<Json> {
        let request_error = |reason: String| Error::Address {
            address: address.to_owned(),
            reason,
        };
        let method = method
            .parse()
            .map_err(|_| request_error("invalid method".to_owned()))?;
        let request = self
            .client
            .request(method, format!("http://{address}{path}"))
            .insert_header(("authorization", format!("Bearer {}", self.key)));
        let mut response = request
            .send()
            .await
            .map_err(|error| request_error(error.to_string()))?;
        let status = response.status();
        let body: Json = response
            .json()
            .await
            .map_err(|error| request_error(error.to_string()))?;
        if !status.is_success() {
            let message = body.pointer("/error/message").cloned().unwrap_or(body);
            return Err(request_error(format!("status {status}: {message}")));
        }
        Ok(body)
    }
}
