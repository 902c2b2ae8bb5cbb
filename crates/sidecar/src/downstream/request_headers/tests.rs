use actix_http::header::{HeaderName, HeaderValue};

use super::*;

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    fields
        .iter()
        .map(|&(name, value)| {
            (
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            )
        })
        .collect()
}

#[test]
fn timeout_without_unit_or_out_of_range_counts_as_absent() {
    assert_eq!(parse_timeout("480m"), Some(Duration::from_millis(480)));
    assert_eq!(parse_timeout("480000u"), Some(Duration::from_millis(480)));
    assert_eq!(parse_timeout("0.5m"), Some(Duration::from_micros(500)));
    for text in ["480", "m", "-1m", "NaNu", "infm", "480 m", "480s", ""] {
        assert_eq!(parse_timeout(text), None, "{text:?}");
    }
}

#[test]
fn work_hint_below_a_microsecond_or_above_a_minute_counts_as_absent() {
    assert_eq!(parse_work_hint(" 1.5 "), Some(Duration::from_micros(1)));
    assert_eq!(parse_work_hint("60000000"), Some(Duration::from_secs(60)));
    for text in ["0", "0.99", "60000001", "-5", "NaN", "inf", "5u", ""] {
        assert_eq!(parse_work_hint(text), None, "{text:?}");
    }
}

#[test]
fn token_that_is_empty_or_too_long_is_rejected() {
    let headers = headers(&[("short", "abc"), ("long", "abcd"), ("empty", "")]);
    assert_eq!(
        parse_token(&headers, "short", 3)
            .expect("readable")
            .as_deref(),
        Some("abc")
    );
    assert!(parse_token(&headers, "absent", 3).is_ok_and(|token| token.is_none()));
    for name in ["long", "empty"] {
        let error = parse_token(&headers, name, 3).expect_err(name);
        assert!(matches!(error, MalformedRequest::HeaderUnreadable));
    }
}
