//! Validates the rows of a table (the operators' list of backend servers, model versions, routes
//! and client accounts), both before a table file is published and before an instance applies a
//! published table, and converts them to a [`Table`]. Errors name the row, the column and the
//! correction.

use super::*;

const NAME_MAX_BYTES: usize = 64;
const ROWS_MAX: usize = 4_000;
const SERVES_MAX: usize = 64;
const WEIGHT_MAX: u32 = 1_000_000;
const ROUTE_TIMEOUT_DEFAULT_MS: u32 = 30_000;
const ROUTE_TIMEOUT_MAX_MS: u32 = 600_000;

impl TryFrom<&wire::TableFile> for Table {
    type Error = Error;

    fn try_from(file: &wire::TableFile) -> Result<Self> {
        let mut table = Self::default();
        check_row_count(file)?;
        for (index, row) in file.model_version.iter().enumerate() {
            add_model_version(&mut table, index, row)?;
        }
        for (index, row) in file.route.iter().enumerate() {
            add_route(&mut table, index, row)?;
        }
        for (index, row) in file.backend_server.iter().enumerate() {
            add_server(&mut table, index, row)?;
        }
        for (index, row) in file.client_account.iter().enumerate() {
            add_account(&mut table, index, row)?;
        }
        check_weights(&table)?;
        Ok(table)
    }
}

/// Parses and validates the text of a table file in TOML. The error is `Parse` if the text does not
/// have the form of a table, and `TableInvalid` if a row fails a check.
pub fn check_table_text(text: &str) -> Result<(wire::TableFile, Table)> {
    let file: wire::TableFile = toml::from_str(text).map_err(|error| Error::Parse {
        what: "table",
        reason: error.to_string(),
    })?;
    let table = Table::try_from(&file)?;
    Ok((file, table))
}

fn invalid(row: String, column: &'static str, remedy: impl Into<String>) -> Error {
    Error::TableInvalid {
        row,
        column,
        remedy: remedy.into(),
    }
}

fn check_row_count(file: &wire::TableFile) -> Result {
    let counts = [
        ("backend_server", file.backend_server.len()),
        ("model_version", file.model_version.len()),
        ("route", file.route.len()),
        ("client_account", file.client_account.len()),
    ];
    for (kind, count) in counts {
        if count > ROWS_MAX {
            let remedy = format!("{count} rows exceed the maximum of {ROWS_MAX}");
            return Err(invalid(kind.to_owned(), "rows", remedy));
        }
    }
    Ok(())
}

fn check_name(row: &str, column: &'static str, name: &str) -> Result {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./@:".contains(c);
    if name.is_empty() || name.len() > NAME_MAX_BYTES || !name.chars().all(allowed) {
        let remedy = format!(
            "{:?} must be 1 to {NAME_MAX_BYTES} letters, digits or -_./@:",
            shorten(name)
        );
        return Err(invalid(row.to_owned(), column, remedy));
    }
    Ok(())
}

fn check_weight(row: &str, column: &'static str, weight: u32) -> Result {
    if weight > WEIGHT_MAX {
        let remedy = format!("must be at most {WEIGHT_MAX}");
        return Err(invalid(row.to_owned(), column, remedy));
    }
    Ok(())
}

fn add_variant(table: &mut Table, row: &str, subject: Subject, variant: Variant) -> Result {
    check_name(row, "path", &variant.path)?;
    check_weight(row, "weight", variant.weight)?;
    let variants = table.variants.entry(subject).or_default();
    for other in variants.iter() {
        if other.path == variant.path && other.served_as == variant.served_as {
            return Err(invalid(
                row.to_owned(),
                "path",
                "another row has the same name and path; merge the two rows",
            ));
        }
    }
    variants.push(variant);
    Ok(())
}

fn add_model_version(table: &mut Table, index: usize, row: &wire::ModelVersionRow) -> Result {
    let row_label = format!("model_version[{index}] {}", shorten(&row.model));
    check_name(&row_label, "model", &row.model)?;
    check_name(&row_label, "version", &row.version)?;
    let variant = Variant {
        path: row.path.as_str().into(),
        served_as: format!("{}@{}", row.model, row.version).into(),
        weight: row.weight,
    };
    add_variant(
        table,
        &row_label,
        Subject::Model(row.model.as_str().into()),
        variant,
    )
}

fn add_route(table: &mut Table, index: usize, row: &wire::RouteRow) -> Result {
    let row_label = format!("route[{index}] {}", shorten(&row.prefix));
    check_name(&row_label, "prefix", &row.prefix)?;
    if !row.prefix.starts_with('/') || row.prefix.ends_with('/') || row.prefix == "/v1" {
        let remedy = "must start with '/', must not end with '/', and must not be /v1, which is \
                      reserved for models";
        return Err(invalid(row_label, "prefix", remedy));
    }
    let timeout_ms = match row.timeout_ms {
        0 => ROUTE_TIMEOUT_DEFAULT_MS,
        timeout_ms => timeout_ms,
    };
    if timeout_ms > ROUTE_TIMEOUT_MAX_MS {
        let remedy = format!("must be at most {ROUTE_TIMEOUT_MAX_MS}");
        return Err(invalid(row_label, "timeout_ms", remedy));
    }
    let prefix = SmolStr::from(row.prefix.as_str());
    let route = Route {
        repeatable: row.repeatable,
        timeout: Duration::from_millis(u64::from(timeout_ms)),
    };
    if let Some(other) = table.routes.get(&prefix)
        && other.repeatable != route.repeatable
    {
        let remedy = "must be the same in all rows with this prefix";
        return Err(invalid(row_label, "repeatable", remedy));
    }
    table.routes.insert(prefix.clone(), route);
    let variant = Variant {
        path: row.path.as_str().into(),
        served_as: prefix.clone(),
        weight: row.weight,
    };
    add_variant(table, &row_label, Subject::Route(prefix), variant)
}

fn add_server(table: &mut Table, index: usize, row: &wire::BackendServerRow) -> Result {
    let row_label = format!("backend_server[{index}] {}", shorten(&row.name));
    check_name(&row_label, "name", &row.name)?;
    check_name(&row_label, "data_centre", &row.data_centre)?;
    check_name(&row_label, "path", &row.path)?;
    if table.servers.iter().any(|other| other.name == row.name) {
        return Err(invalid(
            row_label,
            "name",
            "another row has this name; rename one",
        ));
    }
    if row.address.parse::<std::net::SocketAddr>().is_err() {
        let remedy = "must be an IP address and port, such as 10.0.0.7:8000";
        return Err(invalid(row_label, "address", remedy));
    }
    if row.slots == 0 {
        return Err(invalid(
            row_label,
            "slots",
            "must be at least 1; otherwise remove the row",
        ));
    }
    if row.serves.is_empty() || row.serves.len() > SERVES_MAX {
        let remedy = format!("must list 1 to {SERVES_MAX} names: model@version or a route prefix");
        return Err(invalid(row_label, "serves", remedy));
    }
    for served in &row.serves {
        check_served_name(table, &row_label, &row.path, served)?;
    }
    table.servers.push(BackendServer {
        address: row.address.as_str().into(),
        checks_fencing: row.checks_fencing,
        data_centre: row.data_centre.as_str().into(),
        lookup_path: row.lookup_path.as_str().into(),
        name: row.name.as_str().into(),
        path: row.path.as_str().into(),
        price_cents_per_hour: row.price_cents_per_hour,
        reclaimable: row.reclaimable,
        serves: row.serves.iter().map(SmolStr::from).collect(),
        slots: row.slots,
    });
    Ok(())
}

/// Rejects an entry of a server's `serves` column for which the table has no model version or route
/// row on the server's path. A path is the group of servers and rows of one deployment.
fn check_served_name(table: &Table, row_label: &str, path: &str, served: &str) -> Result {
    for variants in table.variants.values() {
        for variant in variants {
            if variant.served_as == served && variant.path == path {
                return Ok(());
            }
        }
    }
    let remedy = format!(
        "no model_version or route row on path {} is {}; add the row or correct the name",
        shorten(path),
        shorten(served)
    );
    Err(invalid(row_label.to_owned(), "serves", remedy))
}

fn add_account(table: &mut Table, index: usize, row: &wire::ClientAccountRow) -> Result {
    let row_label = format!("client_account[{index}] {}", shorten(&row.name));
    check_name(&row_label, "name", &row.name)?;
    let mut key_sha256 = [0; 32];
    if hex::decode_to_slice(&row.key_sha256, &mut key_sha256).is_err() {
        let remedy = "must be the SHA-256 of the account's key as 64 hex digits";
        return Err(invalid(row_label, "key_sha256", remedy));
    }
    for other in &table.client_accounts {
        if other.name == row.name {
            return Err(invalid(
                row_label,
                "name",
                "another row has this name; rename one",
            ));
        }
        if other.key_sha256 == key_sha256 {
            return Err(invalid(
                row_label,
                "key_sha256",
                "another row has this key; generate a new key",
            ));
        }
    }
    let limits = [
        ("requests_per_s", row.requests_per_s),
        ("streams_max", row.streams_max),
        ("tokens_per_s", row.tokens_per_s),
    ];
    for (column, value) in limits {
        if value == 0 {
            return Err(invalid(
                row_label,
                column,
                "must be at least 1; otherwise remove the row",
            ));
        }
    }
    let priority = match row.priority.as_str() {
        "background" => Priority::Background,
        "" | "ordinary" => Priority::Ordinary,
        "urgent" => Priority::Urgent,
        _ => {
            return Err(invalid(
                row_label,
                "priority",
                "must be urgent, ordinary or background",
            ));
        }
    };
    let mut path_weights = SmallVec::new();
    for (path, weight) in &row.path_weights {
        check_name(&row_label, "path_weights", path)?;
        check_weight(&row_label, "path_weights", *weight)?;
        path_weights.push((PathName::from(path.as_str()), *weight));
    }
    table.client_accounts.push(ClientAccount {
        key_sha256,
        name: row.name.as_str().into(),
        path_weights,
        priority,
        requests_per_s: row.requests_per_s,
        streams_max: row.streams_max,
        tokens_per_s: row.tokens_per_s,
    });
    Ok(())
}

/// Rejects a model or route whose traffic weights are all zero, either in its own rows or after one
/// account's weights replace them.
fn check_weights(table: &Table) -> Result {
    for (subject, variants) in &table.variants {
        if variants.iter().all(|variant| variant.weight == 0) {
            let remedy = "all weights are 0; at least one must be above 0";
            return Err(invalid(subject.to_string(), "weight", remedy));
        }
        for account in &table.client_accounts {
            let sum: u64 = variants
                .iter()
                .map(|variant| u64::from(table.weight_for(account, variant)))
                .sum();
            if sum == 0 {
                let row = format!("client_account {}", account.name);
                let remedy =
                    format!("all weights for {subject} are 0; at least one must be above 0");
                return Err(invalid(row, "path_weights", remedy));
            }
        }
    }
    Ok(())
}

/// Prepares text from an operator or a caller for a message: cuts it to 64 characters, and escapes
/// quotes, backslashes and everything but printable ASCII.
pub fn shorten(text: &str) -> String {
    let mut short = String::new();
    for c in text.chars().take(NAME_MAX_BYTES) {
        short.extend(c.escape_default());
    }
    short
}
