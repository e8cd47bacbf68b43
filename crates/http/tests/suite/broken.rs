//! Exchanges with a peer whose response is broken.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonytack_http::ExchangeErrorKind;
use ebonytack_stand_in::{
    BrokenResponse, ConnectionEnd, ENCODING_LINES, RawInstance, invalid_field_names,
    invalid_status_lines, truncated_responses,
};

use crate::run;

const HEADERS: &str = "x-id: mine\r\n";

async fn assert_failure(responses: Vec<BrokenResponse>) {
    let mut taken = BTreeMap::new();
    for response in responses {
        let name = response.name.clone();
        let peer = RawInstance::broken(response).await.expect("a peer starts");
        match run(peer.address, None).await {
            Ok((response, _)) => {
                taken.insert(name, (response.status.as_u16(), response.body.to_bytes()));
            }
            Err(error) => {
                let kinds = [ExchangeErrorKind::Broken, ExchangeErrorKind::Malformed];
                assert!(error.sent && kinds.contains(&error.kind), "{name}: {error}");
            }
        }
    }
    assert!(taken.is_empty(), "{} taken for responses: {taken:#?}", taken.len());
}

/// Guards against a response with a status that no peer can mean.
#[actix_rt::test]
async fn response_with_an_invalid_status_line_fails() {
    assert_failure(invalid_status_lines(HEADERS, "hello")).await;
}

/// Guards against a header, or a body, that differs from what the peer sent.
#[actix_rt::test]
async fn response_with_an_invalid_field_name_fails() {
    assert_failure(invalid_field_names(HEADERS, "hello")).await;
}

/// Guards against a part of a response that passes for the whole.
#[actix_rt::test]
async fn part_of_a_response_fails() {
    assert_failure(truncated_responses(HEADERS, "hello")).await;
}

/// Guards against a valid response that fails because a part of it looks like a broken head.
#[actix_rt::test]
async fn blanks_and_colons_elsewhere_than_in_names_are_accepted() {
    const BODY: &str = "HTTP/1.1 600 no\r\nx-odd : 1\r\n\r\n";
    let length = BODY.len();
    let head = "HTTP/1.1 200 O : K\r\nx-id:mine\r\nx-note:\t a : b\r\n";
    let other = "HTTP/1.1 200 OK\r\nx-id: other\r\n";
    let sized = format!("{head}content-length: {length}\r\n\r\n{BODY}");
    for text in [
        format!("\r\n{sized}"),
        format!("HTTP/1.1 102 Processing\r\nx-note: 1 : 2\r\n\r\n{sized}"),
        format!("{other}content-length: {length}\r\n\r\n{BODY}{sized}"),
        format!("{head}transfer-encoding: chunked\r\n\r\n{length:x}\r\n{BODY}\r\n0\r\n\r\n"),
        format!("{head}\r\n{BODY}"),
    ] {
        let response = BrokenResponse {
            name: "valid".to_owned(),
            bytes: text.clone().into_bytes(),
            end: ConnectionEnd::Close,
        };
        let peer = RawInstance::broken(response).await.expect("a peer starts");
        let (response, _) = run(peer.address, None).await.expect(&text);
        assert_eq!(response.body.to_bytes(), BODY, "{text}");
    }
}

/// Guards against an empty body in place of one whose encoding is not known (RFC 9112, section 6.3,
/// rule 4: it ends with the connection).
#[actix_rt::test]
async fn response_with_another_encoding_than_chunks_is_whole_or_fails() {
    let mut other_bodies = Vec::new();
    for line in ENCODING_LINES {
        let text = format!("HTTP/1.1 200 OK\r\n{HEADERS}{line}\r\n\r\nhello");
        for end in [ConnectionEnd::Close, ConnectionEnd::Reset(Duration::from_millis(20))] {
            let (name, bytes) = (line.to_owned(), text.clone().into_bytes());
            let response = BrokenResponse { name, bytes, end };
            let peer = RawInstance::broken(response).await.expect("a peer starts");
            if let Ok((response, _)) = run(peer.address, None).await {
                let body = response.body.to_bytes();
                if end != ConnectionEnd::Close || body != "hello" {
                    other_bodies.push((line, end, body));
                }
            }
        }
    }
    assert!(other_bodies.is_empty(), "{other_bodies:#?}");
}
