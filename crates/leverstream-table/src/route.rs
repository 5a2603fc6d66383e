use serde::{Deserialize, Serialize};

/// A method and a path pattern, such as `GET /games/*`.
///
/// `*` matches any method and, at the end of the path, any suffix. Rules select, for instance, the
/// requests that may be repeated; a request that matches none of those rules runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RouteRule {
    method: String,
    path: String,
}

impl RouteRule {
    /// Returns whether a request with this method and path matches the rule.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let is_method_match = self.method == "*" || self.method == method;
        let is_path_match = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix) && !may_leave_prefix(path),
            None => path == self.path,
        };
        is_method_match && is_path_match
    }
}

impl TryFrom<String> for RouteRule {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let (method, path) = text
            .split_once(' ')
            .ok_or_else(|| format!("`{text}` is not a method, a space and a path"))?;
        let is_valid_method = method == "*"
            || (!method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase() || b == b'-'));
        if !is_valid_method {
            return Err(format!("`{method}` is not `*` or a method in capitals"));
        }
        let prefix = path.strip_suffix('*').unwrap_or(path);
        if !prefix.starts_with('/') || prefix.contains(['*', ' ', '?', '#']) {
            return Err(format!(
                "`{path}` is not a path; it must start with `/`, and `*` is allowed only at the end"
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

/// Returns whether a path could leave its prefix when a backend server normalizes it.
///
/// Such a path may denote another resource, so it must not match a rule that makes requests repeatable.
fn may_leave_prefix(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    lower.contains("..") || lower.contains("%2e") || lower.contains("//") || lower.contains("%2f")
}
