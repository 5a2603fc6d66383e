use std::collections::HashMap;
use std::fmt;

use leverstream_workspace::Workspaces;
use serde::{Deserialize, Serialize};

use crate::Route;

/// One version of what the operators want served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version; a higher one is newer.
    pub version: u64,
    /// The routes by host, those with the longest prefix first.
    hosts: HashMap<String, Vec<Route>>,
    /// The services by name.
    pub services: HashMap<String, ServiceSpec>,
    /// What callers may send.
    pub limits: Limits,
    /// Whose keys open the routes that are not open to all; without any, all routes are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspaces: Option<Workspaces>,
}

/// What the operators say of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The path of its backend servers' health check.
    pub health_path: String,
    /// The connections that one of its backend servers takes from all VMs together.
    pub connections: u32,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest that a head may take to arrive.
    pub head_ms: u64,
    /// The longest that a connection may rest between requests.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// The bounds in force until the first catalog has been read: generous, as nothing is served.
    fn default() -> Limits {
        Limits { head_bytes: 64 << 10, body_bytes: 64 << 20, head_ms: 10_000, idle_ms: 60_000 }
    }
}

/// Why a catalog cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogError {
    /// The route at fault.
    pub route: String,
    /// What is wrong with it.
    pub fault: &'static str,
}

impl fmt::Display for CatalogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route `{}`: {}", self.route, self.fault)
    }
}

impl std::error::Error for CatalogError {}

impl Catalog {
    /// Builds a catalog, refusing one whose routes cannot be followed.
    pub fn build(
        version: u64,
        routes: Vec<(String, Route)>,
        services: HashMap<String, ServiceSpec>,
        limits: Limits,
    ) -> Result<Catalog, CatalogError> {
        let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
        for (host, route) in routes {
            check(&route, &services)?;
            hosts.entry(host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Catalog { version, hosts, services, limits, workspaces: None })
    }

    /// The same catalog with workspaces, whose keys its routes ask for.
    pub fn with_workspaces(self, workspaces: Option<Workspaces>) -> Catalog {
        Catalog { workspaces, ..self }
    }

    /// Finds the route of a request: the one of its host with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The workspaces whose keys a route asks for, unless it is open to all.
    pub fn required_workspaces(&self, route: &Route) -> Option<&Workspaces> {
        self.workspaces.as_ref().filter(|_| !route.is_open)
    }

    /// The hosts with their routes.
    pub fn hosts(&self) -> impl Iterator<Item = (&str, &[Route])> {
        self.hosts.iter().map(|(host, routes)| (host.as_str(), routes.as_slice()))
    }

    /// How many routes there are.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// Checks that a route can be followed.
fn check(route: &Route, services: &HashMap<String, ServiceSpec>) -> Result<(), CatalogError> {
    let fail = |fault| Err(CatalogError { route: route.name.clone(), fault });
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return fail("the prefix has no slash at an end");
    }
    if !route.targets.iter().any(|target| target.weight > 0.0) {
        return fail("no service has a weight above zero");
    }
    if route.targets.iter().any(|target| !services.contains_key(&target.service)) {
        return fail("it names a service that is not listed");
    }
    if route.attempts == 0 {
        return fail("it allows no attempt");
    }
    if route.timeout_ms == 0 {
        return fail("it allows no time");
    }
    Ok(())
}
