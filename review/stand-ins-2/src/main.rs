//! The second review's cases: each drives the project's program over loopback and judges what
//! clients and operators see. Exit code 1: the rule was broken; 0: it held; 2: it could not run.

mod cases;
mod http;
mod nats;
mod platform;
mod program;
mod record;
mod redis;

use std::process::exit;
use std::time::Duration;

/// A case ends after so long, with its processes.
const LONGEST: Duration = Duration::from_secs(110);

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-cases-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = match record::Record::create(&folder, &case, trouble) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(2);
        }
    };
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        watched.line("the case took too long");
        program::end_all();
        exit(2);
    });
    let code = match cases::run(&case, trouble, &mut record) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(why) => {
            record.line(&format!("could not run: {why}"));
            2
        }
    };
    record.line(&format!("exit code {code}"));
    exit(code);
}
