//! Benchmarks of how memory, CPU time, control traffic and latency scale. docs/CAPACITY.md and
//! docs/MEASUREMENTS.md name the command behind each figure.

use std::process::ExitCode;

mod calls;
mod claims;
mod engine_model;
mod fleet;
mod members;
mod placement;
mod process;
mod routing;
mod table;

mod flags {
    #![allow(missing_docs)]
    xflags::xflags! {
        /// Runs benchmarks.
        cmd ebonyspread-bench {
            /// Control traffic and CPU time of the membership protocol, in virtual time.
            cmd members {
                /// Nodes per data centre; may be repeated.
                repeated --nodes nodes: usize
                /// Number of data centres.
                optional --centres centres: usize
                /// Measured virtual time in seconds.
                optional --seconds seconds: u64
                /// Node restarts during the measured time.
                optional --restarts restarts: u32
            }
            /// Memory and processing time of the claim index.
            cmd claims {
                /// Number of keys; may be repeated.
                repeated --keys keys: u64
            }
            /// Time to admit and end a request.
            cmd routing {
                /// Number of backend servers; may be repeated.
                repeated --servers servers: usize
            }
            /// Time to choose a registered server for a call.
            cmd fleet {
                /// Number of servers; may be repeated.
                repeated --servers servers: usize
                /// Number of peers that report loads.
                optional --peers peers: usize
            }
            /// Simulation of placement policies in virtual time.
            cmd placement {
                /// Experiment file (TOML).
                required file: String
                /// Use the tuning seeds instead of the reporting seeds.
                optional --tuned
                /// Use this fleet size instead of searching for the smallest one.
                optional --fleet fleet: usize
                /// File to which one CSV line per run is written.
                optional --csv csv: String
            }
            /// Size and processing time of tables and edits.
            cmd table {
                /// Number of backend servers; may be repeated.
                repeated --servers servers: usize
            }
            /// Latency and throughput of calls to an address.
            cmd calls {
                /// Address of a backend server or entry instance.
                required --address address: String
                /// API key of a client account.
                optional --key key: String
                /// Kind of calls: lookup, order or stream.
                required --kind kind: String
                /// Model name for streams.
                optional --model model: String
                /// Number of concurrent calls in a closed loop; ignored if a rate is given.
                optional --at-once at_once: usize
                /// Rate of new calls per second.
                optional --rate rate: f64
                /// Duration in seconds.
                optional --seconds seconds: u64
            }
            /// Time from an edit's acceptance until every instance has applied it.
            cmd edits {
                /// Base URL of the platform.
                required --platform platform: String
                /// Administration address of an instance; may be repeated.
                repeated --admin admin: String
                /// Administration key.
                required --key key: String
                /// Number of edits.
                optional --count count: u32
            }
            /// CPU time and memory of processes, and control traffic by kind from their metrics.
            cmd process {
                /// Process ID; may be repeated.
                repeated --pid pid: u32
                /// Administration address of an instance; may be repeated.
                repeated --admin admin: String
                /// Duration in seconds.
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
        EbonyspreadBenchCmd::Fleet(options) => {
            fleet::run(&options.servers, options.peers.unwrap_or(76))
        }
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
