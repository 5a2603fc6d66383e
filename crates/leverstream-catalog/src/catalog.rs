use std::collections::HashMap;
use std::fmt;

use leverstream_workspace::Workspaces;
use serde::{Deserialize, Serialize};

use crate::Route;

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version; a higher one is newer.
    pub version: u64,
    /// The routes by host, sorted by descending prefix length.
    hosts: HashMap<String, Vec<Route>>,
    /// The services by name.
    pub services: HashMap<String, ServiceSpec>,
    /// The limits on callers' requests.
    pub limits: Limits,
    /// The workspaces whose API keys the routes that are not open require; without workspaces every route is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspaces: Option<Workspaces>,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The health check path of its backend servers.
    pub health_path: String,
    /// The most connections that all VMs together open to one of its backend servers.
    pub connections: u32,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest request header, in bytes.
    pub head_bytes: usize,
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The time limit for receiving a request header, in milliseconds.
    pub head_ms: u64,
    /// The time limit for an idle connection between requests, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// The limits until the first catalog is loaded; they are generous because no request is served yet.
    fn default() -> Limits {
        Limits { head_bytes: 64 << 10, body_bytes: 64 << 20, head_ms: 10_000, idle_ms: 60_000 }
    }
}

/// Why a catalog is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogError {
    /// The name of the invalid route.
    pub route: String,
    /// What is wrong with the route.
    pub fault: &'static str,
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route `{}`: {}", self.route, self.fault)
    }
}

impl std::error::Error for CatalogError {}

impl Catalog {
    /// Builds a catalog, or returns an error if a route is invalid.
    pub fn build(
        version: u64,
        routes: Vec<(String, Route)>,
        services: HashMap<String, ServiceSpec>,
        limits: Limits,
    ) -> Result<Catalog, CatalogError> {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for (host, route) in routes {
            validate_route(&route, &services)?;
            hosts.entry(host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Catalog { version, hosts, services, limits, workspaces: None })
    }

    /// Replaces the workspaces whose API keys the routes require.
    pub fn with_workspaces(self, workspaces: Option<Workspaces>) -> Catalog {
        Catalog { workspaces, ..self }
    }

    /// Finds the route of a request: the longest matching path prefix of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the workspaces whose API keys a route requires, or none if the route is open.
    pub fn required_workspaces(&self, route: &Route) -> Option<&Workspaces> {
        self.workspaces.as_ref().filter(|_| !route.is_open)
    }

    /// Tells whether some requests are more urgent than others: there are routes of more than one
    /// priority, or workspaces of more than one rank.
    pub fn has_ranks(&self) -> bool {
        let mut routes = self.hosts.values().flatten().map(|route| route.priority);
        let mut workspaces = self.workspaces.iter().flat_map(Workspaces::iter);
        let first_rank = workspaces.next().map(|workspace| workspace.rank);
        let first_priority = routes.next();
        routes.any(|priority| Some(priority) != first_priority)
            || workspaces.any(|workspace| Some(workspace.rank) != first_rank)
    }

    /// Iterates over the hosts and their routes.
    pub fn hosts(&self) -> impl Iterator<Item = (&str, &[Route])> {
        self.hosts.iter().map(|(host, routes)| (host.as_str(), routes.as_slice()))
    }

    /// Tells whether the routes have at least two different priorities.
    pub fn has_several_priorities(&self) -> bool {
        let mut priorities = self.hosts.values().flatten().map(|route| route.priority);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    /// Returns how many routes the catalog has.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// Checks that a route has a valid prefix, known services and nonzero limits.
fn validate_route(
    route: &Route,
    services: &HashMap<String, ServiceSpec>,
) -> Result<(), CatalogError> {
    let fail = |fault| Err(CatalogError { route: route.name.clone(), fault });
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return fail("the path prefix must start and end with `/`");
    }
    if !route.targets.iter().any(|target| target.weight > 0.0) {
        return fail("at least one target needs a weight above zero");
    }
    if route.targets.iter().any(|target| !services.contains_key(&target.service)) {
        return fail("a target names an unknown service");
    }
    if route.attempts == 0 {
        return fail("the maximum number of attempts must not be zero");
    }
    if route.timeout_ms == 0 {
        return fail("the timeout must not be zero");
    }
    Ok(())
}
