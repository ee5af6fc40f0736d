//! Cases that apply to every transport.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{ABSENCE_WAIT, Case, CaseResult, End, LinkFault, Received, Subject};

/// Number of messages that are in transit at once.
const MESSAGE_COUNT: usize = 200;

/// All cases of the suite.
pub fn cases() -> Vec<Case> {
    let case = |name, run| Case { name, run };
    vec![
        case("preserves order", preserves_order),
        case("delivers under jitter", delivers_under_jitter),
        case("recovers from partition", recovers_from_partition),
        case("reassembles fragments", reassembles_fragments),
        case(
            "discards partial message at close",
            discards_partial_message_at_close,
        ),
        case("handles duplicates", handles_duplicates),
        case("refuses oversized", refuses_oversized),
        case("tolerates slow receiver", tolerates_slow_receiver),
        case("gives up silent peer", gives_up_silent_peer),
        case("passes on close", passes_on_close),
        case("passes on reset", passes_on_reset),
    ]
}

fn ensure(condition: bool, reason: impl FnOnce() -> String) -> CaseResult {
    if condition { Ok(()) } else { Err(reason()) }
}

fn message_name(number: usize) -> String {
    format!("message-{number}")
}

fn send(end: &mut dyn End, messages: &[String]) -> CaseResult {
    messages.iter().try_for_each(|message| end.send(message))
}

/// Receives the wanted number of messages; fails if anything else comes first.
fn receive_messages(
    end: &mut dyn End,
    wanted: usize,
    delivery_timeout: Duration,
) -> Result<Vec<String>, String> {
    let mut received = Vec::new();
    while received.len() < wanted {
        match end.receive(delivery_timeout) {
            Received::Message(message) => received.push(message),
            other => {
                return Err(format!(
                    "received {other:?} after {} of {wanted} messages",
                    received.len()
                ));
            }
        }
    }
    Ok(received)
}

fn expect_messages(
    end: &mut dyn End,
    sent: &[String],
    (ordered, delivery_timeout): (bool, Duration),
) -> CaseResult {
    let mut received = receive_messages(end, sent.len(), delivery_timeout)?;
    let mut sent = sent.to_vec();
    if !ordered {
        received.sort();
        sent.sort();
    }
    let at = received
        .iter()
        .zip(&sent)
        .position(|(received, sent)| received != sent);
    ensure(at.is_none(), || {
        let at = at.unwrap_or_default();
        format!("received {:.40?}, expected {:.40?}", received[at], sent[at])
    })
}

/// Sends one message in each direction and checks that both arrive.
fn exchange_one_each_way(
    near: &mut dyn End,
    far: &mut dyn End,
    delivery_timeout: Duration,
) -> CaseResult {
    let [ask, answer] = ["ask", "answer"].map(|word| vec![word.to_owned()]);
    send(near, &ask)?;
    expect_messages(far, &ask, (true, delivery_timeout))?;
    send(far, &answer)?;
    expect_messages(near, &answer, (true, delivery_timeout))
}

fn exchange_both_ways(subject: &mut dyn Subject, count: usize) -> CaseResult {
    let delivery_timeout = subject.delivery_timeout();
    let ordered = subject.properties().is_ordered;
    let (mut near, mut far) = subject.pair();
    let messages: Vec<String> = (0..count).map(message_name).collect();
    send(&mut *near, &messages)?;
    expect_messages(&mut *far, &messages, (ordered, delivery_timeout))?;
    send(&mut *far, &messages)?;
    expect_messages(&mut *near, &messages, (ordered, delivery_timeout))?;
    let extra = near.receive(ABSENCE_WAIT);
    ensure(extra == Received::Nothing, || {
        format!("received {extra:?} after all messages that were sent")
    })
}

fn preserves_order(subject: &mut dyn Subject) -> CaseResult {
    exchange_both_ways(subject, MESSAGE_COUNT)
}

fn delivers_under_jitter(subject: &mut dyn Subject) -> CaseResult {
    subject.set_fault(LinkFault::Jitter);
    exchange_both_ways(subject, MESSAGE_COUNT / 4)
}

/// A reliable transport delivers everything after a partition; others deliver what is sent after it.
fn recovers_from_partition(subject: &mut dyn Subject) -> CaseResult {
    let delivery_timeout = subject.delivery_timeout();
    let properties = subject.properties();
    let (mut near, mut far) = subject.pair();
    exchange_one_each_way(&mut *near, &mut *far, delivery_timeout)?;
    subject.set_fault(LinkFault::Partition);
    let held_messages: Vec<String> = (0..5).map(message_name).collect();
    send(&mut *near, &held_messages)?;
    let unexpected = far.receive(ABSENCE_WAIT);
    ensure(unexpected == Received::Nothing, || {
        format!("received {unexpected:?} during a partition")
    })?;
    subject.set_fault(LinkFault::None);
    if properties.is_reliable {
        expect_messages(
            &mut *far,
            &held_messages,
            (properties.is_ordered, delivery_timeout),
        )?;
    }
    exchange_one_each_way(&mut *near, &mut *far, delivery_timeout)
}

fn reassembles_fragments(subject: &mut dyn Subject) -> CaseResult {
    let delivery_timeout = subject.delivery_timeout();
    let properties = subject.properties();
    subject.set_fault(LinkFault::Fragments(3));
    exchange_both_ways(subject, 10)?;
    subject.set_fault(LinkFault::None);
    if !properties.signals_close {
        return Ok(());
    }
    let (mut near, mut far) = subject.pair();
    near.send_partial("whole", 3);
    let early = far.receive(ABSENCE_WAIT);
    ensure(early == Received::Nothing, || {
        format!("received {early:?} from a partial message")
    })?;
    // A partial message must not block the other direction.
    far.send("meanwhile")?;
    expect_messages(
        &mut *near,
        &["meanwhile".to_owned()],
        (true, delivery_timeout),
    )
}

fn discards_partial_message_at_close(subject: &mut dyn Subject) -> CaseResult {
    let delivery_timeout = subject.delivery_timeout();
    if !subject.properties().signals_close {
        return Ok(());
    }
    let (mut near, mut far) = subject.pair();
    near.send_partial("whole", 3);
    near.finish();
    let received = far.receive(delivery_timeout);
    ensure(received == Received::Closed, || {
        format!("received {received:?} after a partial message and a close, expected a close")
    })
}

fn handles_duplicates(subject: &mut dyn Subject) -> CaseResult {
    let delivery_timeout = subject.delivery_timeout();
    let properties = subject.properties();
    let (mut near, mut far) = subject.pair();
    exchange_one_each_way(&mut *near, &mut *far, delivery_timeout)?;
    subject.set_fault(LinkFault::Duplicate);
    let messages: Vec<String> = (0..20).map(message_name).collect();
    send(&mut *near, &messages)?;
    let mut received = Vec::new();
    while let Received::Message(message) = far.receive(ABSENCE_WAIT) {
        received.push(message);
    }
    let distinct: BTreeSet<&String> = received.iter().collect();
    ensure(distinct.len() == messages.len(), || {
        format!("{} of {} messages arrived", distinct.len(), messages.len())
    })?;
    let has_duplicates = received.len() > messages.len();
    ensure(has_duplicates != properties.deduplicates, || {
        format!(
            "{} messages arrived for {} sent, but deduplicates is {}",
            received.len(),
            messages.len(),
            properties.deduplicates
        )
    })
}

/// The longest message passes, and a longer one affects only its own pair.
fn refuses_oversized(subject: &mut dyn Subject) -> CaseResult {
    let delivery_timeout = subject.delivery_timeout();
    let properties = subject.properties();
    let (mut near, mut far) = subject.pair();
    let longest = vec!["x".repeat(properties.max_message_bytes)];
    send(&mut *near, &longest)?;
    expect_messages(&mut *far, &longest, (true, delivery_timeout))?;
    let (mut other, mut other_far) = subject.pair();
    let is_refused = other
        .send(&"x".repeat(properties.max_message_bytes + 1))
        .is_err();
    let delivered = other_far.receive(if is_refused || !properties.signals_close {
        ABSENCE_WAIT
    } else {
        delivery_timeout
    });
    ensure(!matches!(delivered, Received::Message(_)), || {
        "a message over the limit was delivered".into()
    })?;
    if !is_refused && properties.signals_close {
        let outcome = other.receive(delivery_timeout);
        ensure(
            matches!(outcome, Received::Closed | Received::Reset),
            || format!("the sender of a message over the limit receives {outcome:?}"),
        )?;
    }
    exchange_one_each_way(&mut *near, &mut *far, delivery_timeout)
}

/// A far end that reads nothing for a while does not block other pairs, and gets every message later.
fn tolerates_slow_receiver(subject: &mut dyn Subject) -> CaseResult {
    let delivery_timeout = subject.delivery_timeout();
    let properties = subject.properties();
    if !properties.is_reliable {
        return Ok(());
    }
    let (mut near, mut far) = subject.pair();
    let (mut other, mut other_far) = subject.pair();
    let size = properties.max_message_bytes.min(4_000);
    let messages: Vec<String> = (0..500).map(|number| format!("{number:0>size$}")).collect();
    std::thread::scope(|scope| {
        // A transport may apply back pressure, so a thread of its own sends.
        let sender = scope.spawn(|| send(&mut *near, &messages));
        let started_at = Instant::now();
        while !sender.is_finished() && started_at.elapsed() < ABSENCE_WAIT {
            std::thread::sleep(Duration::from_millis(1));
        }
        exchange_one_each_way(&mut *other, &mut *other_far, delivery_timeout)?;
        expect_messages(
            &mut *far,
            &messages,
            (properties.is_ordered, delivery_timeout),
        )?;
        sender
            .join()
            .map_err(|_| "the sender panicked".to_owned())?
    })?;
    exchange_one_each_way(&mut *near, &mut *far, delivery_timeout)
}

/// A silent far end is given up after the declared timeout and not before, or never if none is declared.
fn gives_up_silent_peer(subject: &mut dyn Subject) -> CaseResult {
    let delivery_timeout = subject.delivery_timeout();
    let properties = subject.properties();
    let (mut near, mut far) = subject.pair();
    let (mut other, mut other_far) = subject.pair();
    far.stop_answering();
    let sent_at = Instant::now();
    near.send("anybody")?;
    let received = far.receive(delivery_timeout);
    ensure(received == Received::Message("anybody".into()), || {
        format!("the far end received {received:?}, expected the message sent to it")
    })?;
    let Some(silence) = properties.silence_timeout else {
        let received = near.receive(ABSENCE_WAIT);
        ensure(received == Received::Nothing, || {
            format!("received {received:?} although silence is not detected")
        })?;
        far.send("late")?;
        return expect_messages(&mut *near, &["late".to_owned()], (true, delivery_timeout));
    };
    let received = near.receive(silence + delivery_timeout);
    ensure(received == Received::MoveRequested, || {
        format!("received {received:?} for a silent far end, expected a request to move")
    })?;
    let waited = sent_at.elapsed();
    ensure(waited >= silence.mul_f64(0.9), || {
        format!("the silent far end is given up after {waited:?}, before {silence:?}")
    })?;
    let end = near.receive(delivery_timeout);
    ensure(end == Received::Closed, || {
        format!("received {end:?} after the request to move, expected a close")
    })?;
    exchange_one_each_way(&mut *other, &mut *other_far, delivery_timeout)
}

fn passes_on_close(subject: &mut dyn Subject) -> CaseResult {
    let delivery_timeout = subject.delivery_timeout();
    if !subject.properties().signals_close {
        return Ok(());
    }
    let (mut near, mut far) = subject.pair();
    send(&mut *near, &["last".to_owned()])?;
    near.finish();
    expect_messages(&mut *far, &["last".to_owned()], (true, delivery_timeout))?;
    let received = far.receive(delivery_timeout);
    ensure(received == Received::Closed, || {
        format!("the far end received {received:?}, expected the near end's close")
    })?;
    far.finish();
    let (mut near, mut far) = subject.pair();
    send(&mut *far, &["bye".to_owned()])?;
    far.finish();
    expect_messages(&mut *near, &["bye".to_owned()], (true, delivery_timeout))?;
    let received = near.receive(delivery_timeout);
    ensure(received == Received::Closed, || {
        format!("the near end received {received:?}, expected the far end's close")
    })
}

fn passes_on_reset(subject: &mut dyn Subject) -> CaseResult {
    let delivery_timeout = subject.delivery_timeout();
    if !subject.properties().signals_close {
        return Ok(());
    }
    let (near, mut far) = subject.pair();
    near.reset();
    let received = far.receive(delivery_timeout);
    ensure(received == Received::Reset, || {
        format!("the far end received {received:?}, expected the near end's reset")
    })?;
    let (mut near, far) = subject.pair();
    far.reset();
    let received = near.receive(delivery_timeout);
    ensure(received == Received::Reset, || {
        format!("the near end received {received:?}, expected the far end's reset")
    })
}
