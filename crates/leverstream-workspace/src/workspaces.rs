//! The workspaces of a configuration.

use std::collections::HashMap;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::KeyDigest;

/// The workspaces of a configuration, indexed by key and by id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "Vec<Workspace>", try_from = "Vec<Workspace>")]
pub struct Workspaces {
    /// All workspaces, in the order of the configuration.
    list: Vec<Workspace>,
    /// The index of the workspace that owns each key.
    by_key: HashMap<KeyDigest, WorkspaceIndex>,
    /// The index of the workspace with each id.
    by_id: HashMap<WorkspaceId, WorkspaceIndex>,
}

/// A group of callers that share keys, a rank and an allotment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name under which backend servers know it.
    pub name: String,
    /// The queueing rank of its requests, compared before that of their route; 0 goes first.
    pub rank: u32,
    /// The limit on its requests; `None` if unlimited.
    pub allotment: Option<Allotment>,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// How many requests a workspace may send through all VMs together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allotment {
    /// The sustained rate in requests per second.
    pub rate_per_s: f64,
    /// The number of requests that may exceed the rate at once.
    pub burst: f64,
}

/// The index of a workspace in the [`Workspaces`] of one configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WorkspaceIndex(u32);

/// The id of a workspace across versions and VMs: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkspaceId(pub u64);

/// Why a list of workspaces is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum WorkspaceError {
    /// workspace {0}: it has no name
    NoName(usize),
    /// workspace `{0}`: the name is used twice; give each workspace its own
    NameTwice(String),
    /// workspace `{0}`: one of its keys is used twice, by this or another workspace
    KeyTwice(String),
    /// workspace `{0}`: its rate or burst is negative or not finite
    BadAllotment(String),
}

impl std::error::Error for WorkspaceError {}

impl Workspaces {
    /// Indexes workspaces and rejects lists in which a request's workspace would be ambiguous or an
    /// allotment is invalid.
    pub fn build(list: Vec<Workspace>) -> Result<Workspaces, WorkspaceError> {
        let mut by_key = HashMap::new();
        let mut by_id = HashMap::new();
        for (index, workspace) in list.iter().enumerate() {
            let name = || workspace.name.clone();
            if workspace.name.trim().is_empty() {
                return Err(WorkspaceError::NoName(index));
            }
            let workspace_index = WorkspaceIndex(index as u32);
            if by_id.insert(workspace.id(), workspace_index).is_some() {
                return Err(WorkspaceError::NameTwice(name()));
            }
            if !workspace.allotment.is_none_or(Allotment::is_valid) {
                return Err(WorkspaceError::BadAllotment(name()));
            }
            for key in &workspace.keys {
                if by_key.insert(*key, workspace_index).is_some() {
                    return Err(WorkspaceError::KeyTwice(name()));
                }
            }
        }
        Ok(Workspaces { list, by_key, by_id })
    }

    /// Finds the workspace that owns a key.
    pub fn find(&self, key: &KeyDigest) -> Option<WorkspaceIndex> {
        self.by_key.get(key).copied()
    }

    /// Returns the workspace with this id.
    pub fn by_id(&self, id: WorkspaceId) -> Option<&Workspace> {
        self.by_id.get(&id).map(|index| self.get(*index))
    }

    /// Returns the workspace at an index.
    pub fn get(&self, index: WorkspaceIndex) -> &Workspace {
        &self.list[index.0 as usize]
    }

    /// Returns all workspaces.
    pub fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.list.iter()
    }
}

impl Workspace {
    /// Returns its id across versions and VMs.
    pub fn id(&self) -> WorkspaceId {
        WorkspaceId(xxh3_64(self.name.as_bytes()))
    }
}

impl Allotment {
    /// Returns whether rate and burst are finite and not negative.
    fn is_valid(self) -> bool {
        [self.rate_per_s, self.burst].iter().all(|number| number.is_finite() && *number >= 0.0)
    }
}

impl From<Workspaces> for Vec<Workspace> {
    fn from(workspaces: Workspaces) -> Vec<Workspace> {
        workspaces.list
    }
}

impl TryFrom<Vec<Workspace>> for Workspaces {
    type Error = WorkspaceError;

    fn try_from(list: Vec<Workspace>) -> Result<Workspaces, WorkspaceError> {
        Workspaces::build(list)
    }
}
