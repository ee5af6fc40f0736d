//! The deploy file names the folders of all that the real balancer is built from.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use toml::Table;

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .ancestors()
        .nth(2)
        .expect("the workspace")
        .to_owned()
}

fn read_toml(path: &Path) -> Table {
    std::fs::read_to_string(path)
        .expect("it is there")
        .parse()
        .expect("TOML")
}

/// The folders of the packages of the workspace that a package is built from, its own among them.
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
        .expect("dependencies");
    for dependency in dependencies.values() {
        let Some(path) = dependency.get("path").and_then(|path| path.as_str()) else {
            continue;
        };
        collect_workspace_dependencies(
            path.strip_prefix("../").expect("a package beside this one"),
            visited,
        );
    }
}

#[test]
fn node_lists_every_balancer_folder_once() {
    let deploy = read_toml(&workspace_root().join("deploy/balancer.toml"));
    let list = |key: &str| -> BTreeSet<String> {
        let rows = deploy[key].as_array().expect("a list").iter();
        rows.map(|row| row.as_str().expect("text").to_owned())
            .collect()
    };
    let (node, policy) = (list("node"), list("policy"));
    let mut folders = BTreeSet::new();
    collect_workspace_dependencies("cli", &mut folders);
    // The decisions' files are named one by one, so that none of the policy's is named twice.
    assert!(folders.remove("policy"), "{folders:?}");
    let mut expected: BTreeSet<String> = folders
        .iter()
        .map(|folder| format!("crates/{folder}/src"))
        .collect();
    for file in std::fs::read_dir(workspace_root().join("crates/policy/src")).expect("it is there")
    {
        let name = file.expect("it is there").file_name();
        expected.insert(format!("crates/policy/src/{}", name.to_string_lossy()));
    }
    expected.retain(|path| !policy.contains(path));
    assert_eq!(node, expected);
}
