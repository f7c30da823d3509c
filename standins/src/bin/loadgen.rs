//! Runs a checked load against entry instances.

use std::process::ExitCode;
use std::time::Duration;

use ebonyspread_standins::load::Caller;
use ebonyspread_standins::load::Deployment;
use ebonyspread_standins::load::LoadSettings;
use ebonyspread_standins::load::run;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Runs a checked load; exits with 1 if an answer was lost, wrong or doubled.
        cmd loadgen {
            /// Address of an entry instance; may be repeated.
            repeated --entry entry: String
            /// Address of a plain service whose runs are compared; may be repeated.
            repeated --service service: String
            /// Account and key as NAME=KEY; may be repeated.
            repeated --caller caller: String
            /// Workload: derwent or lakeshore.
            optional --deployment deployment: String
            /// Model to ask for.
            optional --model model: String
            /// Requests started in a second.
            optional --rate rate: f64
            /// Seconds for which requests are started.
            optional --seconds seconds: u64
            /// Seed.
            optional --seed seed: u64
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Loadgen::from_env_or_exit();
    let mut callers = Vec::new();
    for text in &flags.caller {
        let Some((account, key)) = text.split_once('=') else {
            eprintln!("error: --caller {text}: write NAME=KEY");
            return ExitCode::from(2);
        };
        callers.push(Caller {
            account: account.to_owned(),
            key: key.to_owned(),
        });
    }
    if callers.is_empty() || flags.entry.is_empty() {
        eprintln!("error: name at least one --entry and one --caller");
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
        time: Duration::from_secs(flags.seconds.unwrap_or(10)),
    };
    let report = actix_rt::System::new().block_on(run(settings));
    report.print();
    let lost: u64 = report
        .ends
        .iter()
        .filter(|((_, end), _)| *end != ebonyspread_standins::load::End::Whole)
        .map(|(_, count)| count)
        .sum();
    match lost == 0 && report.violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}
