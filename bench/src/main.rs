//! Measures slopes of the product's mechanisms; docs/CAPACITY.md and docs/MEASUREMENTS.md say
//! which command gave which figure.

use std::process::ExitCode;

mod calls;
mod claims;
mod engine_model;
mod members;
mod placement;
mod process;
mod routing;
mod table;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Measures slopes.
        cmd ebonyspread-bench {
            /// Control bytes and processor time of the membership, as state machines.
            cmd members {
                /// Nodes of one data centre; may be repeated.
                repeated --nodes nodes: usize
                /// Data centres.
                optional --centres centres: usize
                /// Virtual seconds.
                optional --seconds seconds: u64
                /// Restarts during that time.
                optional --restarts restarts: u32
            }
            /// Memory and time of the claim index.
            cmd claims {
                /// Keys; may be repeated.
                repeated --keys keys: u64
            }
            /// Time of admissions and placements.
            cmd routing {
                /// Backend servers; may be repeated.
                repeated --servers servers: usize
            }
            /// Placement policies in virtual time.
            cmd placement {
                /// Experiment file (TOML).
                required file: String
                /// Use the seeds that were tuned on.
                optional --tuned
                /// Use this fleet instead of searching the smallest.
                optional --fleet fleet: usize
                /// Write a line a run here.
                optional --csv csv: String
            }
            /// Size and time of tables and edits.
            cmd table {
                /// Backend servers; may be repeated.
                repeated --servers servers: usize
            }
            /// Latency and rate of calls at an address.
            cmd calls {
                /// Address to call.
                required --address address: String
                /// Account key.
                optional --key key: String
                /// What to send: lookup, order or stream.
                required --kind kind: String
                /// Model for streams.
                optional --model model: String
                /// Calls at once; without a rate each starts when one ends.
                optional --at-once at_once: usize
                /// Calls started in a second.
                optional --rate rate: f64
                /// Seconds.
                optional --seconds seconds: u64
            }
            /// Time from an edit's acceptance until every instance has it in force.
            cmd edits {
                /// Base URL of the platform.
                required --platform platform: String
                /// Administration address; may be repeated.
                repeated --admin admin: String
                /// Administration key.
                required --key key: String
                /// Edits.
                optional --count count: u32
            }
            /// Processor time and memory of processes, and control bytes by kind from metrics.
            cmd process {
                /// Process id; may be repeated.
                repeated --pid pid: u32
                /// Administration address; may be repeated.
                repeated --admin admin: String
                /// Seconds.
                optional --seconds seconds: u64
            }
        }
    }
}

use flags::EbonyspreadBenchCmd;

fn main() -> ExitCode {
    let flags = flags::EbonyspreadBench::from_env_or_exit();
    let result = match flags.subcommand {
        EbonyspreadBenchCmd::Calls(options) => calls::run(&options),
        EbonyspreadBenchCmd::Claims(options) => claims::run(&options.keys),
        EbonyspreadBenchCmd::Edits(options) => table::run_edits(&options),
        EbonyspreadBenchCmd::Members(options) => members::run(&options),
        EbonyspreadBenchCmd::Placement(options) => placement::run(&options),
        EbonyspreadBenchCmd::Process(options) => process::run(&options),
        EbonyspreadBenchCmd::Routing(options) => routing::run(&options.servers),
        EbonyspreadBenchCmd::Table(options) => table::run(&options.servers),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
