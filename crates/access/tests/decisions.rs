//! Decisions about requests, by key, queue and age of the configuration.

use access::{AccessRequest, AccessRules, Caller, Keys, Refusal};
use smol_str::SmolStr;

const STRICT: AccessRules = AccessRules {
    are_keys_required: true,
    revocation_ms: Some(5000),
};

const LENIENT: AccessRules = AccessRules {
    are_keys_required: false,
    revocation_ms: None,
};

fn keys(teams: &[(&str, &[&str])]) -> Keys {
    let keys: Vec<Vec<SmolStr>> = teams
        .iter()
        .map(|(_, keys)| keys.iter().copied().map(SmolStr::from).collect())
        .collect();
    let names = teams.iter().map(|(name, _)| *name);
    Keys::new(names.zip(keys.iter().map(Vec::as_slice)))
}

fn team(name: &str) -> Caller {
    Caller::Team(name.into())
}

#[test]
fn requests_are_decided_by_key_queue_and_age_of_the_configuration() {
    let keys = keys(&[("a", &["k1", "k2"]), ("b", &["k3", ""])]);
    let anonymous = Ok(Caller::Anonymous);
    let stale = Err(Refusal::StaleConfig);
    // Rules, public queue, key, age of the configuration in ms, decision.
    let cases = [
        (STRICT, false, Some("k1"), Some(0), Ok(team("a"))),
        (STRICT, false, Some("k2"), Some(900), Ok(team("a"))),
        (STRICT, false, Some("k3"), Some(4949), Ok(team("b"))),
        (STRICT, false, Some("k3"), Some(4950), stale.clone()),
        (STRICT, false, Some("k3"), Some(u64::MAX), stale.clone()),
        (STRICT, false, Some("k3"), None, stale.clone()),
        (LENIENT, false, Some("k3"), Some(60_000), Ok(team("b"))),
        (STRICT, false, None, Some(900), Err(Refusal::NoKey)),
        (
            STRICT,
            false,
            Some("k4"),
            Some(900),
            Err(Refusal::UnknownKey),
        ),
        (STRICT, false, Some(""), Some(900), Err(Refusal::UnknownKey)),
        (
            STRICT,
            false,
            Some("K1"),
            Some(900),
            Err(Refusal::UnknownKey),
        ),
        (
            LENIENT,
            false,
            Some("k4"),
            Some(1999),
            Err(Refusal::UnknownKey),
        ),
        // The key may have been added since, or the queue made public.
        (LENIENT, false, Some("k4"), Some(2000), stale.clone()),
        (STRICT, false, None, Some(2000), stale.clone()),
        (STRICT, false, None, None, stale),
        (STRICT, true, None, Some(900), anonymous.clone()),
        (STRICT, true, Some("k1"), Some(900), anonymous.clone()),
        (STRICT, true, Some("k4"), None, anonymous),
    ];
    for (rules, is_public, key, config_age_ms, expected) in cases {
        let request = AccessRequest {
            is_public,
            key,
            config_age_ms,
        };
        assert_eq!(
            keys.decide(rules, request),
            expected,
            "{rules:?} {request:?}"
        );
    }
}

#[test]
fn without_teams_keys_are_needed_only_where_the_rules_require_them() {
    let request = AccessRequest {
        is_public: false,
        key: None,
        config_age_ms: Some(900),
    };
    let none = keys(&[]);
    assert_eq!(none.decide(LENIENT, request), Ok(Caller::Unchecked));
    assert_eq!(none.decide(STRICT, request), Err(Refusal::NoKey));
    let keyless = keys(&[("a", &[])]);
    assert_eq!(keyless.decide(LENIENT, request), Err(Refusal::NoKey));
}

#[test]
fn a_key_of_two_teams_belongs_to_the_first() {
    let keys = keys(&[("a", &["k", "k"]), ("b", &["k"])]);
    let request = AccessRequest {
        is_public: false,
        key: Some("k"),
        config_age_ms: Some(0),
    };
    assert_eq!(keys.decide(STRICT, request), Ok(team("a")));
    assert_eq!(keys.duplicates(), 1);
    assert!(!format!("{keys:?}").contains("\"k\""), "a key is a secret");
}
