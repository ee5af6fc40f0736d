//! Every store that there is keeps to the contract: a new one is one line here.

mod subjects;

use beaconflow_contracts::stores::model::{Defect, InMemory};
use beaconflow_contracts::stores::{FileSubject, assert_conforms};

use subjects::{MemoryFile, Overrides, RedisTenants};

#[test]
fn in_memory() {
    assert_conforms(|| InMemory::new(Defect::None));
}

#[test]
fn overrides_in_a_file() {
    assert_conforms(FileSubject::new::<Overrides>);
}

#[test]
fn a_memory_in_a_file() {
    assert_conforms(FileSubject::new::<MemoryFile<{ 16 << 20 }>>);
}

#[test]
fn a_memory_in_a_file_without_a_journal() {
    assert_conforms(FileSubject::new::<MemoryFile<0>>);
}

#[test]
fn tenants_in_redis() {
    assert_conforms(RedisTenants::new);
}
