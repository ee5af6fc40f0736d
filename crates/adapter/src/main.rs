//! Carries beaconflow's decisions over the xenon-52f2 wire, on standard input and output.

#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic of the policy is reported on the wire; the default message would repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = io::stdout().lock();
    match host::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(stop) => {
            // Nothing can be done if standard error is closed.
            let _ = writeln!(io::stderr(), "beaconflow-adapter: {stop}");
            ExitCode::FAILURE
        }
    }
}
