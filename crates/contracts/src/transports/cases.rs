//! The cases.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{Case, CaseResult, End, LinkFault, NEVER, Received, Subject};

/// So many messages are on their way at once.
const MANY: usize = 200;

/// All cases.
pub fn cases() -> Vec<Case> {
    let case = |name, run| Case { name, run };
    vec![
        case("order", order),
        case("uneven times", uneven),
        case("loss", loss),
        case("half messages", half),
        case("half a message and an end", half_and_end),
        case("doubled", doubled),
        case("oversized", oversized),
        case("a slow peer", slow),
        case("a silent peer", silent),
        case("end for end", end_for_end),
        case("reset for reset", reset_for_reset),
    ]
}

fn check(holds: bool, why: impl FnOnce() -> String) -> CaseResult {
    if holds { Ok(()) } else { Err(why()) }
}

fn name(number: usize) -> String {
    format!("message-{number}")
}

fn send(end: &mut dyn End, messages: &[String]) -> CaseResult {
    messages.iter().try_for_each(|message| end.send(message))
}

/// Hears until there is nothing more, or as much as is wanted.
fn hear(end: &mut dyn End, wanted: usize, patience: Duration) -> Result<Vec<String>, String> {
    let mut heard = Vec::new();
    while heard.len() < wanted {
        match end.hear(patience) {
            Received::Message(message) => heard.push(message),
            other => {
                return Err(format!(
                    "{other:?} after {} of {wanted} messages",
                    heard.len()
                ));
            }
        }
    }
    Ok(heard)
}

fn exactly(
    end: &mut dyn End,
    sent: &[String],
    (ordered, patience): (bool, Duration),
) -> CaseResult {
    let mut heard = hear(end, sent.len(), patience)?;
    let mut sent = sent.to_vec();
    if !ordered {
        heard.sort();
        sent.sort();
    }
    let at = heard
        .iter()
        .zip(&sent)
        .position(|(heard, sent)| heard != sent);
    check(at.is_none(), || {
        let at = at.unwrap_or_default();
        format!("{:.40?} came for {:.40?}", heard[at], sent[at])
    })
}

/// Words go both ways.
fn works(near: &mut dyn End, far: &mut dyn End, patience: Duration) -> CaseResult {
    let [ask, answer] = ["ask", "answer"].map(|word| vec![word.to_owned()]);
    send(near, &ask)?;
    exactly(far, &ask, (true, patience))?;
    send(far, &answer)?;
    exactly(near, &answer, (true, patience))
}

fn both_ways(subject: &mut dyn Subject, count: usize) -> CaseResult {
    let patience = subject.patience();
    let ordered = subject.traits().ordered;
    let (mut near, mut far) = subject.pair();
    let messages: Vec<String> = (0..count).map(name).collect();
    send(&mut *near, &messages)?;
    exactly(&mut *far, &messages, (ordered, patience))?;
    send(&mut *far, &messages)?;
    exactly(&mut *near, &messages, (ordered, patience))?;
    let more = near.hear(NEVER);
    check(more == Received::Nothing, || {
        format!("{more:?} that nobody sent")
    })
}

fn order(subject: &mut dyn Subject) -> CaseResult {
    both_ways(subject, MANY)
}

fn uneven(subject: &mut dyn Subject) -> CaseResult {
    subject.weather(LinkFault::Uneven);
    both_ways(subject, MANY / 4)
}

/// What is reliable brings all after a cut; what is not brings what is sent after it.
fn loss(subject: &mut dyn Subject) -> CaseResult {
    let patience = subject.patience();
    let traits = subject.traits();
    let (mut near, mut far) = subject.pair();
    works(&mut *near, &mut *far, patience)?;
    subject.weather(LinkFault::Cut);
    let lost: Vec<String> = (0..5).map(name).collect();
    send(&mut *near, &lost)?;
    let through = far.hear(NEVER);
    check(through == Received::Nothing, || {
        format!("{through:?} through a cut")
    })?;
    subject.weather(LinkFault::Fair);
    if traits.reliable {
        exactly(&mut *far, &lost, (traits.ordered, patience))?;
    }
    works(&mut *near, &mut *far, patience)
}

fn half(subject: &mut dyn Subject) -> CaseResult {
    let patience = subject.patience();
    let traits = subject.traits();
    subject.weather(LinkFault::Pieces(3));
    both_ways(subject, 10)?;
    subject.weather(LinkFault::Fair);
    if !traits.ends {
        return Ok(());
    }
    let (mut near, mut far) = subject.pair();
    near.send_partial("whole", 3);
    let early = far.hear(NEVER);
    check(early == Received::Nothing, || {
        format!("{early:?} of half a message")
    })?;
    // The other way is not held up by it.
    far.send("meanwhile")?;
    exactly(&mut *near, &["meanwhile".to_owned()], (true, patience))
}

fn half_and_end(subject: &mut dyn Subject) -> CaseResult {
    let patience = subject.patience();
    if !subject.traits().ends {
        return Ok(());
    }
    let (mut near, mut far) = subject.pair();
    near.send_partial("whole", 3);
    near.finish();
    let heard = far.hear(patience);
    check(heard == Received::Ended, || {
        format!("{heard:?} of half a message and an end")
    })
}

fn doubled(subject: &mut dyn Subject) -> CaseResult {
    let patience = subject.patience();
    let traits = subject.traits();
    let (mut near, mut far) = subject.pair();
    works(&mut *near, &mut *far, patience)?;
    subject.weather(LinkFault::Doubled);
    let messages: Vec<String> = (0..20).map(name).collect();
    send(&mut *near, &messages)?;
    let mut heard = Vec::new();
    while let Received::Message(message) = far.hear(NEVER) {
        heard.push(message);
    }
    let unlike: BTreeSet<&String> = heard.iter().collect();
    check(unlike.len() == messages.len(), || {
        format!("{} of {} came", unlike.len(), messages.len())
    })?;
    let twice = heard.len() > messages.len();
    check(twice != traits.once, || {
        format!(
            "{} came for {}, and once is {}",
            heard.len(),
            messages.len(),
            traits.once
        )
    })
}

/// The longest message passes, and a longer one ends nothing but its own pair.
fn oversized(subject: &mut dyn Subject) -> CaseResult {
    let patience = subject.patience();
    let traits = subject.traits();
    let (mut near, mut far) = subject.pair();
    let longest = vec!["x".repeat(traits.longest)];
    send(&mut *near, &longest)?;
    exactly(&mut *far, &longest, (true, patience))?;
    let (mut other, mut other_far) = subject.pair();
    let refused = other.send(&"x".repeat(traits.longest + 1)).is_err();
    let came = other_far.hear(if refused || !traits.ends {
        NEVER
    } else {
        patience
    });
    check(!matches!(came, Received::Message(_)), || {
        "too long, and came".into()
    })?;
    if !refused && traits.ends {
        let told = other.hear(patience);
        check(matches!(told, Received::Ended | Received::Reset), || {
            format!("{told:?} to whoever sent too much")
        })?;
    }
    works(&mut *near, &mut *far, patience)
}

/// A far end that takes nothing for a while holds up nobody else, and gets all of it.
fn slow(subject: &mut dyn Subject) -> CaseResult {
    let patience = subject.patience();
    let traits = subject.traits();
    if !traits.reliable {
        return Ok(());
    }
    let (mut near, mut far) = subject.pair();
    let (mut other, mut other_far) = subject.pair();
    let size = traits.longest.min(4_000);
    let messages: Vec<String> = (0..500).map(|number| format!("{number:0>size$}")).collect();
    std::thread::scope(|scope| {
        // A transport that holds its sender back does well: so it is sent from elsewhere.
        let sends = scope.spawn(|| send(&mut *near, &messages));
        let begun = Instant::now();
        while !sends.is_finished() && begun.elapsed() < NEVER {
            std::thread::sleep(Duration::from_millis(1));
        }
        works(&mut *other, &mut *other_far, patience)?;
        exactly(&mut *far, &messages, (traits.ordered, patience))?;
        sends.join().map_err(|_| "the sender panicked".to_owned())?
    })?;
    works(&mut *near, &mut *far, patience)
}

/// A far end that says nothing is given up where the transport says so, and not before.
fn silent(subject: &mut dyn Subject) -> CaseResult {
    let patience = subject.patience();
    let traits = subject.traits();
    let (mut near, mut far) = subject.pair();
    let (mut other, mut other_far) = subject.pair();
    far.falls_silent();
    let asked = Instant::now();
    near.send("anybody")?;
    let heard = far.hear(patience);
    check(heard == Received::Message("anybody".into()), || {
        format!("{heard:?}")
    })?;
    let Some(silence) = traits.silence else {
        let heard = near.hear(NEVER);
        check(heard == Received::Nothing, || {
            format!("{heard:?} of silence")
        })?;
        far.send("late")?;
        return exactly(&mut *near, &["late".to_owned()], (true, patience));
    };
    let heard = near.hear(silence + patience);
    check(heard == Received::Moved, || {
        format!("{heard:?} of a silent far end")
    })?;
    let waited = asked.elapsed();
    check(waited >= silence.mul_f64(0.9), || {
        format!("given up after {waited:?}")
    })?;
    let end = near.hear(patience);
    check(end == Received::Ended, || format!("{end:?} after the move"))?;
    works(&mut *other, &mut *other_far, patience)
}

fn end_for_end(subject: &mut dyn Subject) -> CaseResult {
    let patience = subject.patience();
    if !subject.traits().ends {
        return Ok(());
    }
    let (mut near, mut far) = subject.pair();
    send(&mut *near, &["last".to_owned()])?;
    near.finish();
    exactly(&mut *far, &["last".to_owned()], (true, patience))?;
    let heard = far.hear(patience);
    check(heard == Received::Ended, || {
        format!("{heard:?} for the near end's end")
    })?;
    far.finish();
    let (mut near, mut far) = subject.pair();
    send(&mut *far, &["bye".to_owned()])?;
    far.finish();
    exactly(&mut *near, &["bye".to_owned()], (true, patience))?;
    let heard = near.hear(patience);
    check(heard == Received::Ended, || {
        format!("{heard:?} for the far end's end")
    })
}

fn reset_for_reset(subject: &mut dyn Subject) -> CaseResult {
    let patience = subject.patience();
    if !subject.traits().ends {
        return Ok(());
    }
    let (near, mut far) = subject.pair();
    near.reset();
    let heard = far.hear(patience);
    check(heard == Received::Reset, || {
        format!("{heard:?} for the near end's reset")
    })?;
    let (mut near, far) = subject.pair();
    far.reset();
    let heard = near.hear(patience);
    check(heard == Received::Reset, || {
        format!("{heard:?} for the far end's reset")
    })
}
