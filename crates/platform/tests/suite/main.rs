//! The client of the platform, against a peer whose response is broken.

use ebonytack_core::{TableRequest, TableResponse};
use ebonytack_platform::{HttpPlatform, Platform};
use ebonytack_stand_in::{
    BrokenResponse, RawInstance, invalid_field_names, invalid_status_lines, truncated_responses,
};

/// Returns broken forms of the response with this body.
fn broken_responses(body: &str) -> Vec<BrokenResponse> {
    let heads = [invalid_status_lines("", body), invalid_field_names("", body)];
    heads.into_iter().flatten().chain(truncated_responses("", body)).collect()
}

/// Guards against a commit that counts as done, or as without effect, though its response does not
/// say so, and against rows that the table did not send.
#[actix_rt::test]
async fn outcome_is_unknown_after_a_broken_response() {
    let commit = TableRequest::Commit { conditions: Vec::new(), writes: Vec::new() };
    let scan = TableRequest::Scan { prefix: String::new(), start: String::new(), limit: 1 };
    let (committed, rows) = (TableResponse::Committed, TableResponse::Rows(Vec::new()));
    let mut taken = Vec::new();
    for (request, valid_response) in [(commit, committed), (scan, rows)] {
        let body = serde_json::to_string(&valid_response).expect("a response is JSON");
        for response in broken_responses(&body) {
            let name = response.name.clone();
            let peer = RawInstance::broken(response).await.expect("a peer starts");
            let response = HttpPlatform::new(peer.address).execute(request.clone()).await;
            if response != TableResponse::Unknown {
                taken.push(format!("{response:?}: {name}"));
            }
        }
    }
    assert!(taken.is_empty(), "{} taken for responses: {taken:#?}", taken.len());
}

/// Guards against a list of hosts that the platform did not send.
#[actix_rt::test]
async fn broken_response_is_no_list_of_hosts() {
    let mut taken = Vec::new();
    for response in broken_responses("[]") {
        let name = response.name.clone();
        let peer = RawInstance::broken(response).await.expect("a peer starts");
        if HttpPlatform::new(peer.address).list_hosts().await.is_some() {
            taken.push(name);
        }
    }
    assert!(taken.is_empty(), "{} taken for lists: {taken:#?}", taken.len());
}
