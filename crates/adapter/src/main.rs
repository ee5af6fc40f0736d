//! Carries beaconflow's decisions over the xenon-52f2 wire, on standard input and output.

#![forbid(unsafe_code)]

mod host;
mod wire;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic of the module is reported on the wire, so its default message would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    let input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let output = io::stdout().lock();
    match host::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(stop) => {
            // Nothing is left to try if standard error is closed as well.
            let _ = writeln!(io::stderr(), "beaconflow-adapter: {stop}");
            ExitCode::FAILURE
        }
    }
}
