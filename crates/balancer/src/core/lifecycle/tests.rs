//! Tests of the program's state.

use super::*;
use proptest::prelude::*;

/// The plain model: all that was ever said, read anew each time.
fn expected(said: &[Word]) -> State {
    let leaves = said.iter().position(|word| *word == Word::Leave);
    let orders = &said[..leaves.unwrap_or(said.len())];
    let last_order = orders
        .iter()
        .rev()
        .find(|word| matches!(word, Word::Standby | Word::Active));
    let listens = said
        .iter()
        .rev()
        .find(|word| matches!(word, Word::Listens(_)));
    let recovers = said
        .iter()
        .rev()
        .find(|word| matches!(word, Word::Recovers(_)));
    if leaves.is_some() {
        State::Leaving
    } else if last_order == Some(&Word::Standby) {
        State::Standby
    } else if recovers == Some(&Word::Recovers(true)) {
        State::Starting
    } else if listens == Some(&Word::Listens(true)) && said.contains(&Word::Knows) {
        State::Serving
    } else {
        State::Starting
    }
}

fn words() -> impl Strategy<Value = Vec<Word>> {
    let word = prop_oneof![
        any::<bool>().prop_map(Word::Listens),
        Just(Word::Knows),
        any::<bool>().prop_map(Word::Recovers),
        Just(Word::Standby),
        Just(Word::Active),
        Just(Word::Leave),
    ];
    proptest::collection::vec(word, 0..24)
}

proptest! {
    #[test]
    fn any_sequence_of_words_leads_where_the_plain_model_says(words in words()) {
        let mut lifecycle = Lifecycle::default();
        for (count, word) in words.iter().enumerate() {
            let left = words[..count].contains(&Word::Leave);
            let refused = left && matches!(word, Word::Standby | Word::Active);
            let state = expected(&words[..=count]);
            let answer = if refused { Err(Refused(State::Leaving)) } else { Ok(state) };
            prop_assert_eq!(lifecycle.take(*word), answer);
            prop_assert_eq!(lifecycle.state(), state);
        }
    }
}

#[test]
fn a_core_that_has_not_turned_for_long_is_not_ready() {
    let shown = Shown::default();
    shown.show(State::Serving);
    assert!(shown.is_ready());
    let start = Instant::now()
        .checked_sub(SILENCE * 2)
        .expect("the machine runs for longer");
    let shown = Shown::since(start);
    shown.show(State::Serving);
    assert!(!shown.is_ready());
    shown.turned();
    assert!(shown.is_ready());
}
