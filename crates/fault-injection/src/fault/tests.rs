use super::*;

#[test]
fn seeds_reproducible_script_that_heals_every_fault() {
    let links = ["a".to_owned(), "b".to_owned()];
    let script = |seed| Script::seeded(seed, &links, 40, Duration::from_secs(10));
    assert_eq!(script(7), script(7));
    assert_ne!(script(7), script(8));
    let Script(lines) = script(7);
    assert!(lines.is_sorted_by_key(|line| line.after));
    for link in &links {
        let last = lines
            .iter()
            .rfind(|line| &line.link == link)
            .expect("the script uses both links");
        assert!(
            matches!(last.fault, Fault::Heal | Fault::HealWithReset),
            "{last:?}"
        );
    }
}
