//! Every store implementation passes the conformance suite of stores.

mod subjects;

use beaconflow_contracts::stores::model::{Defect, InMemory};
use beaconflow_contracts::stores::{FileSubject, assert_conforms};

use subjects::{MemoryFile, Overrides, RedisTenants};

#[test]
fn in_memory_store_conforms() {
    assert_conforms(|| InMemory::new(Defect::None));
}

#[test]
fn override_file_store_conforms() {
    assert_conforms(FileSubject::new::<Overrides>);
}

#[test]
fn memory_file_store_conforms() {
    assert_conforms(FileSubject::new::<MemoryFile<{ 16 << 20 }>>);
}

#[test]
fn memory_file_store_conforms_without_journal() {
    assert_conforms(FileSubject::new::<MemoryFile<0>>);
}

#[test]
fn redis_tenant_store_conforms() {
    assert_conforms(RedisTenants::new);
}
