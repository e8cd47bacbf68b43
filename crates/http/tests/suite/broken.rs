//! Exchanges with a peer whose response is broken.

use std::collections::BTreeMap;

use ebonytack_http::ExchangeErrorKind;
use ebonytack_stand_in::{BrokenResponse, RawInstance, invalid_status_lines, truncated_responses};

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

/// Guards against a part of a response that passes for the whole.
#[actix_rt::test]
async fn part_of_a_response_fails() {
    assert_failure(truncated_responses(HEADERS, "hello")).await;
}
