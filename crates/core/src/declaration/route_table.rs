//! An index of the routes by path prefix.

use std::collections::BTreeMap;

use super::Route;

/// Finds the route of a request with one lookup per path segment.
#[derive(Clone, Debug, Default)]
pub(crate) struct RouteTable {
    /// Sorted names of routes by prefix without trailing slashes. Invariant: no list is empty.
    by_prefix: BTreeMap<String, Vec<String>>,
}

impl RouteTable {
    /// Moves the route `name` from the prefix of `old` to that of `new`.
    pub(crate) fn replace(&mut self, name: &str, old: Option<&Route>, new: Option<&Route>) {
        if let Some(old) = old {
            let prefix = trim_trailing_slashes(&old.path_prefix);
            if let Some(names) = self.by_prefix.get_mut(prefix) {
                names.retain(|other| other != name);
                if names.is_empty() {
                    self.by_prefix.remove(prefix);
                }
            }
        }
        if let Some(new) = new {
            let names = self
                .by_prefix
                .entry(trim_trailing_slashes(&new.path_prefix).to_owned())
                .or_default();
            names.push(name.to_owned());
            names.sort();
        }
    }

    /// Returns the name of the matching route with the longest prefix. Of several with that prefix,
    /// one with a host wins over one without, then the last one in name order.
    pub(crate) fn find<'a>(
        &'a self,
        routes: &BTreeMap<String, Route>,
        host: &str,
        path: &str,
        method: &str,
    ) -> Option<&'a str> {
        let mut prefix = trim_trailing_slashes(path);
        loop {
            if let Some(names) = self.by_prefix.get(prefix) {
                let matching = |name: &&String| {
                    routes.get(*name).is_some_and(|route| matches(route, host, method))
                };
                let has_host = |name: &&String| routes.get(*name).is_some_and(|r| r.host.is_some());
                let found = names.iter().filter(matching).max_by_key(has_host);
                if let Some(name) = found {
                    return Some(name);
                }
            }
            if prefix.is_empty() {
                return None;
            }
            prefix = &prefix[..prefix.rfind('/').unwrap_or(0)];
        }
    }
}

fn trim_trailing_slashes(path: &str) -> &str {
    path.trim_end_matches('/')
}

fn matches(route: &Route, host: &str, method: &str) -> bool {
    let host_matches = route.host.as_deref().is_none_or(|wanted| wanted.eq_ignore_ascii_case(host));
    host_matches && (route.methods.is_empty() || route.methods.iter().any(|m| m == method))
}
