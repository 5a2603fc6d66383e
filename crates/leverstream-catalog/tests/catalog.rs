//! Tests route matching, the split among targets, host parsing and the validation of catalogs.

use std::collections::HashMap;

use leverstream_catalog::{Catalog, Limits, Route, ServiceSpec, Target, request_host};
use leverstream_workspace::{Workspace, Workspaces};
use yare::parameterized;

/// A route from a path prefix to weighted services.
fn route(name: &str, prefix: &str, targets: &[(&str, f64)]) -> Route {
    let target =
        |(service, weight): &(&str, f64)| Target { service: (*service).into(), weight: *weight };
    Route {
        name: name.into(),
        prefix: prefix.into(),
        is_repeatable: true,
        targets: targets.iter().map(target).collect(),
        timeout_ms: 1_000,
        objective_ms: 500,
        attempts: 2,
        is_open: false,
        priority: 0,
    }
}

/// Builds a catalog of one host with two services.
fn build(routes: Vec<Route>) -> Result<Catalog, leverstream_catalog::CatalogError> {
    let service = || ServiceSpec { health_path: "/health".into(), connections: 10 };
    let services = HashMap::from([("a".to_owned(), service()), ("b".to_owned(), service())]);
    let routes = routes.into_iter().map(|route| ("Shop.example".to_owned(), route)).collect();
    Catalog::build(7, routes, services, Limits::default())
}

#[parameterized(
    longest = { "/x/y/z", Some("inner") },
    shorter = { "/x/q", Some("outer") },
    without_final_slash = { "/x", None },
    unmatched = { "/q/", None },
    partial_segment = { "/x/yz/", Some("outer") },
)]
fn longest_matching_prefix_selects_the_route(path: &str, expected: Option<&str>) {
    let routes = vec![route("outer", "/x/", &[("a", 1.0)]), route("inner", "/x/y/", &[("b", 1.0)])];
    let catalog = build(routes).expect("the catalog is valid");
    let found = catalog.route("shop.example", path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
    assert!(catalog.route("other.example", path).is_none());
}

#[parameterized(
    no_final_slash = { route("r", "/x", &[("a", 1.0)]) },
    no_weight = { route("r", "/x/", &[("a", 0.0)]) },
    unknown_service = { route("r", "/x/", &[("c", 1.0)]) },
    no_attempt = { Route { attempts: 0, ..route("r", "/x/", &[("a", 1.0)]) } },
    no_timeout = { Route { timeout_ms: 0, ..route("r", "/x/", &[("a", 1.0)]) } },
)]
fn invalid_route_is_rejected_with_its_name(route: Route) {
    let error = build(vec![route]).expect_err("the catalog is invalid");
    assert_eq!(error.route, "r");
}

#[test]
fn targets_receive_shares_proportional_to_their_weights() {
    let route = route("r", "/x/", &[("a", 90.0), ("none", 0.0), ("b", 10.0)]);
    let count = |service: &str| {
        let points = (0..1_000).map(|index| f64::from(index) / 1_000.0);
        points.filter(|point| route.target_at(*point).expect("one").service == service).count()
    };
    assert_eq!((count("a"), count("none"), count("b")), (900, 0, 100));
    assert_eq!(route.target_at(1.0).expect("one").service, "b");
}

#[parameterized(
    header = { None, Some("Shop.Example"), Some("shop.example") },
    with_port = { None, Some("shop.example:8080"), Some("shop.example") },
    absolute_form_takes_precedence = { Some("a.example"), Some("b.example"), Some("a.example") },
    user_information = { Some("me@a.example:80"), None, Some("a.example") },
    none = { None, None, None },
    empty = { None, Some(""), None },
)]
fn request_host_is_lower_case_without_user_and_port(
    authority: Option<&str>,
    header: Option<&str>,
    expected: Option<&str>,
) {
    assert_eq!(request_host(authority, header).as_deref(), expected);
}

/// Returns workspaces of the given ranks.
fn workspaces(ranks: &[u32]) -> Option<Workspaces> {
    let workspace = |(number, rank): (usize, &u32)| Workspace {
        name: format!("w{number}"),
        rank: *rank,
        allotment: None,
        keys: Vec::new(),
    };
    let list = ranks.iter().enumerate().map(workspace).collect();
    Some(Workspaces::build(list).expect("the workspaces are valid"))
}

/// Guards against rules by rank where all requests are equally urgent, and against none where they
/// are not.
#[parameterized(
    one_priority = { &[1, 1], &[], false },
    two_priorities = { &[1, 2], &[], true },
    one_workspace_rank = { &[0, 0], &[3, 3], false },
    two_workspace_ranks = { &[0, 0], &[3, 4], true },
    nothing = { &[], &[], false },
)]
fn ranks_need_two_priorities_or_workspace_ranks(priorities: &[u32], ranks: &[u32], expected: bool) {
    let with_priority = |(number, priority): (usize, &u32)| Route {
        priority: *priority,
        ..route(&format!("r{number}"), &format!("/{number}/"), &[("a", 1.0)])
    };
    let catalog = build(priorities.iter().enumerate().map(with_priority).collect());
    let catalog = catalog.expect("the catalog is valid").with_workspaces(workspaces(ranks));
    assert_eq!(catalog.has_ranks(), expected);
}

/// Guards against ranks that apply where the configuration defines none.
#[test]
fn priorities_are_several_only_if_two_routes_differ() {
    let with = |priorities: &[u32]| {
        let route =
            |priority: &u32| Route { priority: *priority, ..route("r", "/x/", &[("a", 1.0)]) };
        build(priorities.iter().map(route).collect()).expect("the catalog is valid")
    };
    assert!(!with(&[]).has_several_priorities());
    assert!(!with(&[3]).has_several_priorities());
    assert!(!with(&[3, 3]).has_several_priorities());
    assert!(with(&[3, 3, 0]).has_several_priorities());
}
