//! Authorizes a request and admits its workspace, once between routing and queueing.

use leverstream_admission::{MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS, Rank};
use leverstream_catalog::{Catalog, Route};
use leverstream_error::Kind;
use leverstream_pace::Clock;
use leverstream_workspace::{Credentials, CredentialsError, Workspace, WorkspaceId, Workspaces};
use tracing::info;

use crate::admission::{Admission, TokenRequest};
use crate::leases::Leases;
use crate::mesh::Mesh;
use crate::meters::{AllotmentOutcome, Meters};
use crate::reply::ErrorAnswer;

/// Checks keys and allotments of workspaces.
pub(crate) struct Authorizer<'a> {
    /// The clock.
    pub clock: Clock,
    /// The lease on the known keys.
    pub leases: &'a Leases,
    /// The allotments.
    pub admission: &'a Admission,
    /// The connection to the other VMs.
    pub mesh: &'a Mesh,
    /// The metrics.
    pub meters: &'a Meters,
}

/// The workspace of an admitted request.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedWorkspace {
    /// The workspace's name.
    pub name: String,
    /// The id, which stays the same across versions of the configuration.
    pub id: WorkspaceId,
    /// The workspace's rank.
    pub rank: u32,
    /// The credentials that the request carried.
    credentials: Credentials,
}

impl Authorizer<'_> {
    /// Waits until the key of a request can be checked reliably, if its route requires one.
    ///
    /// Credentials that are invalid under any configuration are refused at once.
    pub async fn wait_until_certain(
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

    /// Admits a request if its key belongs to a workspace whose allotment has room; returns `None`
    /// if the route requires no key.
    pub async fn admit(
        &self,
        catalog: &Catalog,
        route: &Route,
        credentials: Credentials,
        id: &str,
        arrived_ms: u64,
    ) -> Result<Option<AdmittedWorkspace>, ErrorAnswer> {
        let Some(workspace) = self.workspace(catalog, route, credentials, id)? else {
            return Ok(None);
        };
        self.spend_allotment(workspace, route, id, arrived_ms).await?;
        Ok(Some(AdmittedWorkspace::new(workspace, credentials)))
    }

    /// Identifies the workspace of a request that another VM has admitted; returns `None` if the
    /// route requires no key.
    pub fn identify(
        &self,
        catalog: &Catalog,
        route: &Route,
        credentials: Credentials,
        id: &str,
    ) -> Result<Option<AdmittedWorkspace>, ErrorAnswer> {
        let workspace = self.workspace(catalog, route, credentials, id)?;
        Ok(workspace.map(|workspace| AdmittedWorkspace::new(workspace, credentials)))
    }

    /// Returns the workspace that a request's key belongs to, if its route requires one.
    fn workspace<'a>(
        &self,
        catalog: &'a Catalog,
        route: &Route,
        credentials: Credentials,
        id: &str,
    ) -> Result<Option<&'a Workspace>, ErrorAnswer> {
        let Some(workspaces) = catalog.required_workspaces(route) else { return Ok(None) };
        match credentials.workspace(workspaces) {
            Ok(key) => Ok(Some(workspaces.get(key))),
            Err(error) => Err(self.key_error(error, catalog.version, id)),
        }
    }

    /// Takes one request from the workspace's allotment.
    async fn spend_allotment(
        &self,
        workspace: &Workspace,
        route: &Route,
        id: &str,
        arrived_ms: u64,
    ) -> Result<(), ErrorAnswer> {
        let Some(allotment) = workspace.allotment else { return Ok(()) };
        let (rank, objective_ms) = (Rank(route.priority), route.objective_ms);
        let request =
            TokenRequest { id: workspace.id(), allotment, rank, objective_ms, arrived_ms };
        let result = self.admission.spend(&request, self.mesh, self.clock).await;
        if self.admission.is_by_rank() {
            let outcome = match result {
                Ok(admitted) if admitted.has_waited => AllotmentOutcome::Waited,
                Ok(_) => AllotmentOutcome::Admitted,
                Err(_) => AllotmentOutcome::Refused,
            };
            self.meters.note_allotment(route.priority, outcome);
        }
        let Err(refusal) = result else { return Ok(()) };
        let denied = refusal.denied;
        let retry_after_ms = refusal.retry_after_ms.unwrap_or(denied.wait_ms);
        let retry_after_ms = retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        info!(
            id,
            workspace = workspace.name,
            rank = route.priority,
            room = denied.room,
            reserve = denied.reserve,
            wait_ms = denied.wait_ms,
            retry_after_ms,
            hears_most = denied.is_certain,
            "allotment used up"
        );
        let kind = if denied.is_certain { Kind::RateLimited } else { Kind::AllotmentUnsure };
        Err(ErrorAnswer { kind, retry_after_ms: Some(retry_after_ms) })
    }

    /// Logs why a key is refused, and returns the error answer.
    fn key_error(&self, error: CredentialsError, version: u64, id: &str) -> ErrorAnswer {
        let age_ms = self.leases.age_ms(self.clock.now_ms());
        info!(id, reason = %error, version, age_ms, "key refused");
        Kind::Unauthorized.into()
    }
}

impl AdmittedWorkspace {
    /// Creates the record of a workspace whose request is admitted.
    fn new(workspace: &Workspace, credentials: Credentials) -> AdmittedWorkspace {
        AdmittedWorkspace {
            name: workspace.name.clone(),
            id: workspace.id(),
            rank: workspace.rank,
            credentials,
        }
    }

    /// Returns an error if the request may no longer be sent: the lease on the known keys has
    /// expired, or its key is no longer the workspace's.
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
            .and_then(|known| self.credentials.workspace(known).ok().map(|key| known.get(key)));
        let is_key_valid = holder.is_some_and(|workspace| workspace.name == self.name);
        // Without workspaces in the configuration, no route requires a key.
        if is_key_valid || workspaces.is_none() { Ok(()) } else { Err(Kind::Unauthorized) }
    }
}
