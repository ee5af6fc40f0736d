//! Checks that the deploy file lists every source folder that the balancer is built from.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use toml::Table;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .nth(2)
        .expect("workspace root exists")
        .to_owned()
}

fn read_toml(path: &Path) -> Table {
    std::fs::read_to_string(path)
        .expect("path exists")
        .parse()
        .expect("valid TOML")
}

/// Collects the folders of the workspace packages that a package depends on, including its own.
fn collect_workspace_dependencies(folder: &str, visited: &mut BTreeSet<String>) {
    if !visited.insert(folder.to_owned()) {
        return;
    }
    let manifest = read_toml(
        &workspace_root()
            .join("crates")
            .join(folder)
            .join("Cargo.toml"),
    );
    let dependencies = manifest
        .get("dependencies")
        .and_then(|all| all.as_table())
        .expect("manifest has dependencies");
    for dependency in dependencies.values() {
        let Some(path) = dependency.get("path").and_then(|path| path.as_str()) else {
            continue;
        };
        collect_workspace_dependencies(
            path.strip_prefix("../")
                .expect("dependency is a sibling package"),
            visited,
        );
    }
}

#[test]
fn node_lists_every_balancer_folder_once() {
    let deploy = read_toml(&workspace_root().join("deploy/balancer.toml"));
    let list = |key: &str| -> BTreeSet<String> {
        let rows = deploy[key].as_array().expect("value is an array").iter();
        rows.map(|row| row.as_str().expect("value is a string").to_owned())
            .collect()
    };
    let (node, policy) = (list("node"), list("policy"));
    let mut folders = BTreeSet::new();
    collect_workspace_dependencies("cli", &mut folders);
    // The files of the policy package are listed one by one, so that none is listed under both keys.
    assert!(folders.remove("policy"), "{folders:?}");
    let mut expected: BTreeSet<String> = folders
        .iter()
        .map(|folder| format!("crates/{folder}/src"))
        .collect();
    for file in std::fs::read_dir(workspace_root().join("crates/policy/src")).expect("path exists")
    {
        let name = file.expect("path exists").file_name();
        expected.insert(format!("crates/policy/src/{}", name.to_string_lossy()));
    }
    expected.retain(|path| !policy.contains(path));
    assert_eq!(node, expected);
}
