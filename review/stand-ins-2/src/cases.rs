//! The cases. Each returns whether the rule held.

mod late_delete;
mod old_values;
mod silent_server;
mod site;
mod slow_drain;
mod slow_reader;
mod spoilt_load;
mod trickling_store;

use crate::record::Record;

pub fn run(case: &str, trouble: bool, record: &mut Record) -> Result<bool, String> {
    match case {
        "trickling-store" => trickling_store::run(trouble, record),
        "old-values" => old_values::run(trouble, record),
        "late-delete" => late_delete::run(trouble, record),
        "silent-server" => silent_server::run(trouble, record),
        "slow-drain" => slow_drain::run(trouble, record),
        "slow-reader" => slow_reader::run(trouble, record),
        "spoilt-load" => spoilt_load::run(trouble, record),
        _ => Err(format!("no such case: {case}")),
    }
}
