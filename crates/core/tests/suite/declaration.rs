//! Checks of declarations, and the changes that lead from one to another.

use ebonytack_core::{
    Declaration, ErrorKind, Operation, OperatorReply, RawDeclaration, difference,
};

use crate::support::declaration;

#[test]
fn a_difference_leads_from_one_declaration_to_the_other_and_back() {
    let empty = RawDeclaration::default();
    let full = declaration();
    let mut checked = Declaration::default();
    checked.apply_all(&difference(&empty, &full)).expect("valid");
    assert_eq!(*checked.raw(), full);
    checked.apply_all(&difference(&full, &empty)).expect("valid");
    assert_eq!(*checked.raw(), empty);
}

#[test]
fn a_change_that_breaks_a_rule_changes_nothing() {
    let mut checked = Declaration::try_from(declaration()).expect("valid");
    let before = checked.raw().clone();
    let add = Operation::Profile { id: "mine".to_owned(), value: Some(Default::default()) };
    let remove = Operation::Service { id: "catalogue".to_owned(), value: None };
    let error = checked.apply_all(&[add, remove]).expect_err("the service is in use");
    assert_eq!(error.kind(), ErrorKind::StillReferenced);
    assert_eq!(*checked.raw(), before);
}

#[test]
fn faults_are_named_with_path_value_and_what_is_allowed() {
    let mut raw = declaration();
    raw.customers.get_mut("club").expect("declared").burst = 0;
    let error = Declaration::try_from(raw).expect_err("out of range");
    let text = "customer/club.burst: out of range: found 0, allowed: 1 to 10000000";
    assert_eq!(error.to_string(), text);
    let mut raw = declaration();
    raw.routes.get_mut("catalogue").expect("declared").service = "none".to_owned();
    let error = Declaration::try_from(raw).expect_err("unknown");
    let text = "route/catalogue.service: refers to something that is not declared: \
        found \"none\", allowed: a declared name";
    assert_eq!(error.to_string(), text);
}

#[test]
fn the_longest_prefix_at_a_segment_boundary_wins() {
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
fn answers_to_operators_survive_their_json_form() {
    let reply = OperatorReply::Declaration { revision: 3, declaration: Box::new(declaration()) };
    let json = serde_json::to_string(&reply).expect("JSON");
    assert_eq!(serde_json::from_str::<OperatorReply>(&json).expect("the same"), reply);
}
