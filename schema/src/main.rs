//! Generates `src/wire/ebonyspread.rs` from `schema/messages.proto`.
//!
//! With `--check` it writes nothing and fails if the committed file is out of date.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use prost_build::Config;

/// Messages that are also used in the settings file and the table file (TOML).
const SERDE_TYPES: [&str; 6] = [
    "Settings",
    "TableFile",
    "BackendServerRow",
    "ModelVersionRow",
    "RouteRow",
    "ClientAccountRow",
];

fn main() -> ExitCode {
    let check = std::env::args().any(|argument| argument == "--check");
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    match generate(&root, check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

/// Generates the code and writes it to the committed file, or compares the two if `check` is set.
fn generate(root: &Path, check: bool) -> Result<(), String> {
    let committed_path = root.join("../src/wire/ebonyspread.rs");
    let out_dir = std::env::temp_dir().join(format!("ebonyspread-schema-{}", std::process::id()));
    fs::create_dir_all(&out_dir).map_err(|error| error.to_string())?;
    let result = generate_into(root, &out_dir);
    let generated = result.and_then(|()| {
        fs::read_to_string(out_dir.join("ebonyspread.rs")).map_err(|error| error.to_string())
    });
    fs::remove_dir_all(&out_dir).map_err(|error| error.to_string())?;
    let generated = generated?;
    if check {
        let committed = fs::read_to_string(&committed_path).map_err(|error| error.to_string())?;
        if committed != generated {
            return Err(
                "src/wire/ebonyspread.rs is out of date; run: cargo run -p ebonyspread-schema"
                    .to_owned(),
            );
        }
        return Ok(());
    }
    fs::write(&committed_path, generated).map_err(|error| error.to_string())
}

fn generate_into(root: &Path, out_dir: &Path) -> Result<(), String> {
    let proto = root.join("messages.proto");
    let descriptors = protox::compile([&proto], [root]).map_err(|error| error.to_string())?;
    let mut config = Config::new();
    config.out_dir(out_dir).btree_map(["."]);
    for name in SERDE_TYPES {
        config.type_attribute(name, "#[derive(serde::Serialize, serde::Deserialize)]");
        config.type_attribute(name, "#[serde(default, deny_unknown_fields)]");
    }
    config
        .compile_fds(descriptors)
        .map_err(|error| error.to_string())
}
