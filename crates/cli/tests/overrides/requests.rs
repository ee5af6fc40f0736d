//! Requests to the administration API: repeated, concurrent, invalid, or too many.

use crate::balancer::{Site, out_override_body, override_body};

#[test]
fn duplicate_concurrent_and_invalid_requests_do_no_harm() {
    let site = Site::start(2);
    // Repeated requests, from one client or several at once, are carried out once.
    let request_body = out_override_body("s0", 60.0);
    let answers: Vec<(u16, u64, bool)> = std::thread::scope(|scope| {
        let send = || {
            let answer = site.api.call_with(
                "POST",
                "/v1/overrides",
                "Idempotency-Key: k1\r\n",
                &request_body,
            );
            let id = answer.body["id"].as_u64().expect("value is a number");
            (
                answer.status,
                id,
                answer.head.contains("Idempotency-Replayed"),
            )
        };
        let threads: Vec<_> = (0..8).map(|_| scope.spawn(send)).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("request thread returns"))
            .collect()
    });
    let id = answers[0].1;
    assert!(
        answers
            .iter()
            .all(|(status, other_id, _)| *status == 201 && *other_id == id),
        "{answers:?}"
    );
    assert_eq!(
        answers.iter().filter(|(_, _, replayed)| !replayed).count(),
        1
    );
    let conflicting = site.api.call_with(
        "POST",
        "/v1/overrides",
        "Idempotency-Key: k1\r\n",
        &out_override_body("s1", 60.0),
    );
    assert_eq!(conflicting.status, 422);
    // Of two concurrent changes of the same revision, one is rejected.
    let path = format!("/v1/overrides/{id}");
    let mut statuses: Vec<u16> = std::thread::scope(|scope| {
        let change = || {
            site.api
                .call_with(
                    "PATCH",
                    &path,
                    "If-Match: \"1\"\r\n",
                    r#"{"expires_in_s":90}"#,
                )
                .status
        };
        let threads: Vec<_> = (0..2).map(|_| scope.spawn(change)).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("request thread returns"))
            .collect()
    });
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 412]);
    let status_and_faults = |request_body: &str| -> (u16, Vec<String>) {
        let answer = site.api.call("POST", "/v1/overrides", request_body);
        let faults = answer.body["faults"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        (
            answer.status,
            faults
                .iter()
                .map(|fault| fault["field"].as_str().expect("value is a string").into())
                .collect(),
        )
    };
    for (request_body, status, expected_fields) in [
        ("", 400, vec![]),
        ("{", 400, vec![]),
        ("[]", 422, vec![]),
        ("{}", 422, vec!["kind", "who", "why", "expires_in_s"]),
        (
            r#"{"kind":"up","who":"a","why":"b","expires_in_s":1}"#,
            422,
            vec!["server", "kind"],
        ),
        (
            &override_body(r#""kind":"weight","server":"s0","factor":0"#, 9.0),
            422,
            vec!["factor"],
        ),
        (
            &override_body(r#""kind":"weight","server":"s0","factor":"2""#, 9.0),
            422,
            vec!["factor"],
        ),
        (
            &override_body(r#""kind":"weight","server":"s0","factor":1e999"#, 9.0),
            400,
            vec![],
        ),
        (
            &override_body(r#""kind":"out","server":7"#, 9.0),
            422,
            vec!["server"],
        ),
        (
            &override_body(r#""kind":"out","server":"s0","factor":2"#, 9.0),
            422,
            vec!["body"],
        ),
        (
            &override_body(r#""kind":"pin","server":"s0""#, 9.0),
            422,
            vec!["group"],
        ),
        (
            &override_body(
                r#""kind":"pin","server":"s0","group":"a","tenant":"b""#,
                9.0,
            ),
            422,
            vec!["group", "body"],
        ),
        (
            &override_body(
                r#""kind":"pin","server":"s0","group":"a","mode":"hard""#,
                9.0,
            ),
            422,
            vec!["mode"],
        ),
        (&out_override_body("s0", -1.0), 422, vec!["expires_in_s"]),
        (&out_override_body("s0", 1e300), 422, vec!["expires"]),
        (&out_override_body("s0", 604_801.0), 422, vec!["expires"]),
        (
            &out_override_body(&"s".repeat(200), 9.0),
            422,
            vec!["server"],
        ),
        (
            &out_override_body("s0", 9.0).replace("maintenance", r"a\nb"),
            422,
            vec!["why"],
        ),
        (&"x".repeat(20_000), 413, vec![]),
    ] {
        let (actual_status, faults) = status_and_faults(request_body);
        assert_eq!(
            (actual_status, faults),
            (
                status,
                expected_fields.into_iter().map(String::from).collect()
            ),
            "{request_body}"
        );
    }
    for (method, path, request_body, status) in [
        ("GET", "/v1/overrides/99", "", 404),
        ("GET", "/v1/overrides/all", "", 404),
        ("PUT", "/v1/overrides", "", 405),
        ("POST", "/v1/overrides/1", "", 405),
        (
            "PATCH",
            path.as_str(),
            r#"{"expires_in_s":5,"who":"b"}"#,
            422,
        ),
        ("PATCH", path.as_str(), r#"{"expires_at":"yesterday"}"#, 422),
        (
            "PATCH",
            path.as_str(),
            r#"{"expires_at":"2001-01-01T00:00:00Z"}"#,
            422,
        ),
        ("GET", "/v1/tenants", "", 404),
    ] {
        assert_eq!(
            site.api.call(method, path, request_body).status,
            status,
            "{method} {path} {request_body}"
        );
    }
    // None of the rejected requests changed the overrides in effect.
    let overrides = site.api.overrides();
    assert_eq!(
        (overrides.len(), overrides[0]["revision"].as_u64()),
        (1, Some(2))
    );
    site.establish_connection("north");
}

#[test]
fn override_count_and_duration_limits_are_enforced() {
    // Without a ramp a returning server is back at once.
    let site = Site::start_with_overrides(1, "most = 3\nlongest_s = 10\nramp_s = 0");
    for number in 0..3 {
        site.api
            .add_override(&out_override_body(&format!("x{number}"), 9.0));
    }
    assert_eq!(
        site.api
            .call("POST", "/v1/overrides", &out_override_body("x9", 9.0))
            .status,
        409
    );
    assert_eq!(
        site.api
            .call("POST", "/v1/overrides", &out_override_body("x9", 11.0))
            .status,
        422
    );
    assert_eq!(site.api.call("DELETE", "/v1/overrides/1", "").status, 200);
    site.api.add_override(&out_override_body("x9", 9.0));
}
