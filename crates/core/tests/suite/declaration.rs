//! Validation of declarations, and changes from one to another.

use ebonytack_core::{
    Declaration, ErrorKind, Operation, OperatorReply, RawDeclaration, difference,
};

use crate::support::declaration;

#[test]
fn difference_converts_declaration_and_back() {
    let empty = RawDeclaration::default();
    let populated = declaration();
    let mut checked = Declaration::default();
    checked.apply_all(&difference(&empty, &populated)).expect("valid");
    assert_eq!(*checked.raw(), populated);
    checked.apply_all(&difference(&populated, &empty)).expect("valid");
    assert_eq!(*checked.raw(), empty);
}

#[test]
fn rejected_change_leaves_declaration_unchanged() {
    let mut checked = Declaration::try_from(declaration()).expect("valid");
    let before = checked.raw().clone();
    let add = Operation::Profile { id: "mine".to_owned(), value: Some(Default::default()) };
    let remove = Operation::Service { id: "catalogue".to_owned(), value: None };
    let error = checked.apply_all(&[add, remove]).expect_err("the service is in use");
    assert_eq!(error.kind(), ErrorKind::StillReferenced);
    assert_eq!(*checked.raw(), before);
}

#[test]
fn errors_state_path_found_value_and_allowed_values() {
    let mut raw = declaration();
    raw.customers.get_mut("club").expect("declared").burst = 0;
    let error = Declaration::try_from(raw).expect_err("out of range");
    let text = "customer/club.burst: out of range: found 0, allowed: 1 to 10000000";
    assert_eq!(error.to_string(), text);
    let mut raw = declaration();
    raw.routes.get_mut("catalogue").expect("declared").service = "none".to_owned();
    let error = Declaration::try_from(raw).expect_err("the service is not declared");
    let text = "route/catalogue.service: refers to something that is not declared: \
        found \"none\", allowed: a declared name";
    assert_eq!(error.to_string(), text);
}

#[test]
fn longest_prefix_at_segment_boundary_wins() {
    let mut raw = declaration();
    let mut special = raw.routes["catalogue"].clone();
    special.path_prefix = "/catalogue/special".to_owned();
    special.methods = vec!["GET".to_owned()];
    special.open = true;
    raw.routes.insert("special".to_owned(), special);
    let checked = Declaration::try_from(raw).expect("valid");
    let open = |path, method| checked.route("any", path, method).map(|route| route.open);
    assert_eq!(open("/catalogue/special/x", "GET"), Some(true));
    assert_eq!(open("/catalogue/special/x", "POST"), Some(false));
    assert_eq!(open("/catalogue/specialties", "GET"), Some(false));
    assert_eq!(open("/catalogues", "GET"), None);
}

#[test]
fn operator_reply_round_trips_through_json() {
    let reply = OperatorReply::Declaration { revision: 3, declaration: Box::new(declaration()) };
    let json = serde_json::to_string(&reply).expect("JSON");
    assert_eq!(serde_json::from_str::<OperatorReply>(&json).expect("a reply"), reply);
}
