//! Runs a simulated model engine.

use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpServer;
use ebonyspread_standins::engine::Engine;
use ebonyspread_standins::engine::EngineSettings;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Runs a simulated model engine.
        cmd standin-engine {
            /// Address to listen on.
            required --listen listen: String
            /// Maximum number of concurrent requests.
            optional --slots slots: usize
            /// Time between tokens, in microseconds.
            optional --token-us token_us: u64
            /// Prefill time per uncached token, in microseconds.
            optional --prefill-us prefill_us: u64
            /// Accept orders with a stale fencing token.
            optional --ignores-fencing
        }
    }
}

fn main() -> std::io::Result<()> {
    let flags = flags::StandinEngine::from_env_or_exit();
    let defaults = EngineSettings::default();
    let settings = EngineSettings {
        checks_fencing: !flags.ignores_fencing,
        prefill_per_token: flags
            .prefill_us
            .map_or(defaults.prefill_per_token, Duration::from_micros),
        slots: flags.slots.unwrap_or(defaults.slots),
        token_interval: flags
            .token_us
            .map_or(defaults.token_interval, Duration::from_micros),
        ..defaults
    };
    let engine = Engine::new(settings, Arc::new(|| std::process::exit(1)));
    actix_web::rt::System::new().block_on(async move {
        HttpServer::new(move || App::new().configure(|config| engine.configure(config)))
            .workers(1)
            .shutdown_timeout(1)
            .bind(flags.listen)?
            .run()
            .await
    })
}
