//! Whose request it is, asked once between its route and the queue.

use leverstream_catalog::{Catalog, Route};
use leverstream_error::Kind;
use leverstream_pace::Clock;
use leverstream_workspace::{
    Credentials, CredentialsError, Denied, Workspace, WorkspaceId, Workspaces,
};
use tracing::info;

use crate::admission::Admission;
use crate::leases::Leases;
use crate::mesh::Mesh;
use crate::reply::Refusal;

/// The shortest wait that a caller is told whose workspace has used up its allotment, in milliseconds.
const RETRY_LEAST_MS: u64 = 50;

/// The longest, for workspaces that are owed more than they get.
const RETRY_MOST_MS: u64 = 5_000;

/// What is asked about a request's workspace.
pub(crate) struct Gate<'a> {
    /// The clock.
    pub clock: Clock,
    /// How long what is known of keys may be trusted.
    pub leases: &'a Leases,
    /// The allotments.
    pub admission: &'a Admission,
    /// The other VMs.
    pub mesh: &'a Mesh,
}

/// The workspace of a request that was let in.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    /// Its name.
    pub name: String,
    /// What it is known by across versions.
    pub id: WorkspaceId,
    /// Its rank.
    pub rank: u32,
    /// What was shown for it.
    credentials: Credentials,
}

impl Gate<'_> {
    /// Waits until it can be said whose key a request shows, if its route asks for one.
    ///
    /// What cannot be right under any configuration is refused at once.
    pub async fn until_sure(
        &self,
        catalog: &Catalog,
        route: &Route,
        credentials: Credentials,
    ) -> Result<(), Kind> {
        if catalog.required_workspaces(route).is_none() {
            return Ok(());
        }
        if !matches!(credentials, Credentials::Key(_)) {
            return Err(Kind::Unauthorized);
        }
        if self.leases.until_held(self.clock).await { Ok(()) } else { Err(Kind::KeysUnsure) }
    }

    /// Lets a request in if its key is a workspace's and the workspace has room; none if the route asks for no key.
    pub async fn admit(
        &self,
        catalog: &Catalog,
        route: &Route,
        credentials: Credentials,
        id: &str,
    ) -> Result<Option<Admitted>, Refusal> {
        let Some(workspaces) = catalog.required_workspaces(route) else { return Ok(None) };
        let workspace = match credentials.workspace(workspaces) {
            Ok(key) => workspaces.get(key),
            Err(refused) => return Err(self.refuse_key(refused, catalog.version, id)),
        };
        let admitted = Admitted {
            name: workspace.name.clone(),
            id: workspace.id(),
            rank: workspace.rank,
            credentials,
        };
        self.spend(workspace, id).await?;
        Ok(Some(admitted))
    }

    /// Takes room for the request out of the workspace's allotment.
    async fn spend(&self, workspace: &Workspace, id: &str) -> Result<(), Refusal> {
        let Some(allotment) = workspace.allotment else { return Ok(()) };
        let spent = self.admission.spend(workspace.id(), allotment, self.mesh, self.clock).await;
        let Err(Denied { wait_ms, room, is_certain }) = spent else { return Ok(()) };
        let workspace = &workspace.name;
        info!(id, workspace, room, wait_ms, hears_most = is_certain, "allotment used up");
        let kind = if is_certain { Kind::RateLimited } else { Kind::AllotmentUnsure };
        let retry_after_ms = Some(wait_ms.clamp(RETRY_LEAST_MS, RETRY_MOST_MS));
        Err(Refusal { kind, retry_after_ms })
    }

    /// Says why a key is refused.
    fn refuse_key(&self, refused: CredentialsError, version: u64, id: &str) -> Refusal {
        let age_ms = self.leases.age_ms(self.clock.now_ms());
        info!(id, reason = %refused, version, age_ms, "key refused");
        Kind::Unauthorized.into()
    }
}

impl Admitted {
    /// Tells whether the request may be sent on now: what is known of keys is young enough, and its key is still the
    /// workspace's.
    pub fn check(
        &self,
        leases: &Leases,
        workspaces: Option<&Workspaces>,
        now_ms: u64,
    ) -> Result<(), Kind> {
        if !leases.holds(now_ms) {
            return Err(Kind::KeysUnsure);
        }
        let holder = workspaces
            .and_then(|held| self.credentials.workspace(held).ok().map(|key| held.get(key)));
        let is_held = holder.is_some_and(|workspace| workspace.name == self.name);
        // Where there are no workspaces any more, nobody asks for keys.
        if is_held || workspaces.is_none() { Ok(()) } else { Err(Kind::Unauthorized) }
    }
}
