use serde::{Deserialize, Serialize};

/// A rule that routes the requests under one path prefix of a host to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name that the operators gave it.
    pub name: String,
    /// The path prefix that it matches, which starts and ends with `/`.
    pub prefix: String,
    /// Whether its requests are idempotent, so that they may run more than once.
    pub is_repeatable: bool,
    /// The services among which its requests are split.
    pub targets: Vec<Target>,
    /// The total time limit of a request, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds.
    pub objective_ms: u64,
    /// The most backend servers that one request is sent to.
    pub attempts: u32,
    /// The priority in the queue; 0 is the highest.
    pub priority: u32,
    /// Whether it accepts requests without an API key even if workspaces are configured.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_open: bool,
}

/// One of the services among which a route splits its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the service.
    pub service: String,
    /// The share of requests, relative to the weights of the other targets.
    pub weight: f64,
}

impl Route {
    /// Selects the target for a point from 0 to 1, where each target covers a range proportional to its weight.
    pub fn target_at(&self, point: f64) -> Option<&Target> {
        let total: f64 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = point * total;
        for target in self.targets.iter().filter(|target| target.weight > 0.0) {
            remaining -= target.weight;
            if remaining < 0.0 {
                return Some(target);
            }
        }
        self.targets.iter().rev().find(|target| target.weight > 0.0)
    }
}

/// Returns the host of a request, in lower case and without user information and port.
///
/// A request target in absolute form takes precedence over the `Host` header (RFC 9112, section 3.2.2).
pub fn request_host(authority: Option<&str>, host_header: Option<&str>) -> Option<String> {
    let host = authority.or(host_header)?.trim();
    let host = host.rsplit_once('@').map_or(host, |(_, host)| host);
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    (!name.is_empty()).then(|| name.to_ascii_lowercase())
}
