//! Runs the simulated platform.

use actix_web::App;
use actix_web::HttpServer;
use ebonyspread_standins::platform::Platform;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Runs the simulated platform.
        cmd standin-platform {
            /// Address to listen on.
            required --listen listen: String
        }
    }
}

fn main() -> std::io::Result<()> {
    let flags = flags::StandinPlatform::from_env_or_exit();
    let platform = Platform::default();
    actix_web::rt::System::new().block_on(async move {
        HttpServer::new(move || App::new().configure(|config| platform.configure(config)))
            .workers(1)
            .shutdown_timeout(1)
            .bind(flags.listen)?
            .run()
            .await
    })
}
