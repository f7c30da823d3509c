//! Generates load against entry instances and verifies the responses.

use std::process::ExitCode;
use std::time::Duration;

use ebonyspread_standins::load::Caller;
use ebonyspread_standins::load::Deployment;
use ebonyspread_standins::load::LoadSettings;
use ebonyspread_standins::load::run;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Generates load and verifies it; exits with 1 if a request got no complete, correct
        /// response or an order's executions do not match its outcome.
        cmd loadgen {
            /// Address of an entry instance; may be repeated.
            repeated --entry entry: String
            /// Address of a plain HTTP service whose executions are compared; may be repeated.
            repeated --service service: String
            /// Account name and API key as NAME=KEY; may be repeated.
            repeated --caller caller: String
            /// Workload profile: derwent or lakeshore.
            optional --deployment deployment: String
            /// Model name in chat requests.
            optional --model model: String
            /// Mean rate of new requests per second.
            optional --rate rate: f64
            /// Time during which new requests are started, in seconds.
            optional --seconds seconds: u64
            /// Seed of the workload's random number generator.
            optional --seed seed: u64
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Loadgen::from_env_or_exit();
    let mut callers = Vec::new();
    for text in &flags.caller {
        let Some((account, key)) = text.split_once('=') else {
            eprintln!("error: --caller {text}: expected NAME=KEY");
            return ExitCode::from(2);
        };
        callers.push(Caller {
            account: account.to_owned(),
            key: key.to_owned(),
        });
    }
    if callers.is_empty() || flags.entry.is_empty() {
        eprintln!("error: at least one --entry and one --caller are required");
        return ExitCode::from(2);
    }
    let deployment = match flags.deployment.as_deref() {
        Some("lakeshore") => Deployment::Lakeshore,
        _ => Deployment::Derwent,
    };
    let settings = LoadSettings {
        callers,
        deployment,
        entries: flags.entry,
        model: flags.model.unwrap_or_else(|| "restock-8b".to_owned()),
        rate_per_s: flags.rate.unwrap_or(20.0),
        seed: flags.seed.unwrap_or(1),
        services: flags.service,
        duration: Duration::from_secs(flags.seconds.unwrap_or(10)),
    };
    let report = actix_rt::System::new().block_on(run(settings));
    report.print();
    let failed: u64 = report
        .outcomes
        .iter()
        .filter(|((_, outcome), _)| *outcome != ebonyspread_standins::load::Outcome::Whole)
        .map(|(_, count)| count)
        .sum();
    match failed == 0 && report.violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
