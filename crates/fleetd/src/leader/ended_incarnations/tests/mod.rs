//! Which start the end of an incarnation is told with.

use std::iter;

use super::*;

fn reply(worker: &str, start_unix_ms: u64) -> RoundReply {
    RoundReply {
        starts_unix_ms: BTreeMap::from([(worker.into(), start_unix_ms)]),
        ..RoundReply::default()
    }
}

fn request(ended: &mut EndedIncarnations) -> RoundRequest {
    let mut request = RoundRequest::default();
    ended.move_to(&"pool".into(), &mut request);
    request
}

#[test]
fn an_end_is_told_with_the_start_that_was_known_when_it_was_seen() {
    let mut ended = EndedIncarnations::default();
    ended.begin_round(iter::once(&reply("w", 1)));
    ended.insert("pool".into(), "w".into());
    // The worker has restarted under its id by the next round.
    ended.begin_round(iter::once(&reply("w", 2)));
    let first = request(&mut ended);
    assert_eq!(first.ended_incarnations, ["w"]);
    assert_eq!(first.ended_starts_unix_ms["w"], 1);
    assert_eq!(request(&mut ended), RoundRequest::default());

    ended.take_back("pool".into(), &first);
    assert_eq!(request(&mut ended), first, "the request got no reply");
}
