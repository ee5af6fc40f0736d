use super::*;

/// Guards against an id that runs twice: the other process sent it while this one did not run, and
/// its client has come back here before this process has read of it.
#[test]
fn claim_that_waits_is_refused_once_other_process_has_sent_id() {
    let ids = OpenIds::default();
    let Subscription { peer, events, .. } = ids.subscribe(PeerRole::Successor);
    let id = ids.register("a1").expect("the id is not known yet");
    ids.apply(peer, IdEvent::Opened(id.digest));
    ids.apply(peer, IdEvent::Remembered(id.digest));
    assert!(!id.wait_until_granted());
    assert_eq!(
        events.try_iter().collect::<Vec<_>>(),
        [IdEvent::Opened(id.digest), IdEvent::Refused(id.digest)]
    );
    let other = ids.register("a2").expect("another id is free");
    ids.apply(peer, IdEvent::Granted(other.digest));
    assert!(other.wait_until_granted());
}
