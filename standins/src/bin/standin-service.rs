//! Runs a simulated plain HTTP service.

use actix_web::App;
use actix_web::HttpServer;
use ebonyspread_standins::service::Service;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Runs a simulated plain HTTP service.
        cmd standin-service {
            /// Address to listen on.
            required --listen listen: String
            /// Service name, returned in the `x-served-by` response header.
            required --name name: String
            /// Reject stale fencing tokens.
            optional --checks-fencing
        }
    }
}

fn main() -> std::io::Result<()> {
    let flags = flags::StandinService::from_env_or_exit();
    let service = Service::new(&flags.name, flags.checks_fencing);
    actix_web::rt::System::new().block_on(async move {
        HttpServer::new(move || App::new().configure(|config| service.configure(config)))
            .workers(1)
            .shutdown_timeout(1)
            .bind(flags.listen)?
            .run()
            .await
    })
}
