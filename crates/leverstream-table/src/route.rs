use serde::{Deserialize, Serialize};

/// A method and a path pattern, such as `GET /games/*`.
///
/// `*` stands for any method, and at the end of the path for any rest. A rule names the requests
/// that may be repeated; what no rule names runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RouteRule {
    method: String,
    path: String,
}

impl RouteRule {
    /// Tells whether a request with this method and path falls under the rule.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self.method == "*" || self.method == method;
        let path_fits = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix) && !climbs(path),
            None => path == self.path,
        };
        method_fits && path_fits
    }
}

impl TryFrom<String> for RouteRule {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (method, path) = text
            .split_once(' ')
            .ok_or_else(|| format!("`{text}` is not a method, a space and a path"))?;
        let method_ok = method == "*"
            || (!method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-'));
        if !method_ok {
            return Err(format!("`{method}` is no method; write it in capitals, or `*`"));
        }
        let stem = path.strip_suffix('*').unwrap_or(path);
        if !stem.starts_with('/') || stem.contains(['*', ' ', '?', '#']) {
            return Err(format!(
                "`{path}` is no path; it starts with `/`, with `*` only at the end"
            ));
        }
        Ok(RouteRule { method: method.to_owned(), path: path.to_owned() })
    }
}

impl From<RouteRule> for String {
    fn from(rule: RouteRule) -> String {
        format!("{} {}", rule.method, rule.path)
    }
}

/// Tells whether a path could leave the prefix it starts with once a backend server resolves it.
///
/// Such a path must not pass as repeatable, since it may name another resource.
fn climbs(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    lower.contains("..") || lower.contains("%2e") || lower.contains("//") || lower.contains("%2f")
}
