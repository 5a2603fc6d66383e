//! The other VMs: who is there, and what they tell.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use leverstream_core::choose_entry;
use leverstream_member::{Identity, Member, MemberState, Outgoing, Swim, SwimSettings};
use leverstream_peer::packet::Body;
use leverstream_peer::{FleetKey, PACKET_LIMIT_BYTES, Packet, Standing};
use leverstream_workspace::Between;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tracing::{debug, info, warn};

use crate::duty::Duty;
use crate::gateway::Inner;
use crate::meters::{FarCause, Meters};
use crate::sharing::Sharing;
use crate::{Settings, evidence, leavers, news};

/// The time between two pings of one VM.
const PING_MS: u64 = 400;

/// One ping in so many goes to another data hall: bytes between halls are paid for, and pings were a third
/// of them. A whole hall that is gone is still found within seconds.
const FAR_PING_ONE_IN: u32 = 4;

/// How long an unanswered VM may take to refute that it is dead.
const SUSPICION_MS: u64 = 2_000;

/// How often what is due is looked for.
const TICK_MS: u64 = 100;

/// How long after its start a VM tells callers where to go; callers ask another VM meanwhile or go on with the answer
/// they hold.
///
/// Where a whole fleet starts, a VM's first ping may come before others listen. Its second goes out up to a tick after
/// it is due and is answered at once by those who know the rest; by the next tick it is chosen anew who takes callers.
/// On a busy machine ticks come a few milliseconds late each, hence another one.
const WELCOMED_MS: u64 = PING_MS + 3 * TICK_MS;

/// From how many milliseconds on a tick that comes late is logged: a busy VM is late by less.
const GAP_MS: u64 = 500;

/// How long after its start a VM takes part in choosing who watches the store: members are known
/// within a second, and what changes meanwhile is heard from them or read from the history.
const SETTLE_MS: u64 = 1_200;

/// How many VMs are told at once when this one learns something from the store; more hear of it
/// from those.
const TOLD_AT_ONCE: usize = 160;

/// The other VMs and the way to them.
pub(crate) struct Mesh {
    /// The members.
    swim: RefCell<Swim>,
    /// Seals datagrams.
    key: FleetKey,
    /// Where they go out and come in.
    socket: UdpSocket,
    /// Who takes callers.
    pub sharing: Sharing,
    /// Who watches the store.
    duty: Duty,
    /// Told when there is something to tell of backend servers.
    news: Notify,
    /// Where the VMs of other data halls listen.
    far: RefCell<HashSet<SocketAddr>>,
    /// Whether members have changed since it was last chosen who takes callers.
    has_changed: Cell<bool>,
}

impl Mesh {
    /// Binds the socket; nobody is known yet.
    pub async fn open(settings: &Settings, now_ms: u64) -> std::io::Result<Mesh> {
        let socket = UdpSocket::bind(settings.listen.peers).await?;
        let mut rng = StdRng::from_os_rng();
        let id = rng.random();
        let identity = Identity {
            id,
            peer_address: settings.listen.peers,
            caller_address: settings.listen.callers,
            hall: settings.hall.clone(),
            capacity_per_s: settings.machine.capacity_per_s(),
        };
        let swim_settings = SwimSettings {
            period_ms: PING_MS,
            ack_ms: PING_MS / 3,
            suspicion_ms: SUSPICION_MS,
            far_one_in: FAR_PING_ONE_IN,
            ..SwimSettings::default()
        };
        let mut swim = Swim::open(identity, swim_settings, rng, now_ms);
        swim.hint(settings.peers.seeds.clone());
        Ok(Mesh {
            swim: RefCell::new(swim),
            key: FleetKey::derive(&settings.peers.key),
            socket,
            sharing: Sharing::open(id),
            duty: Duty::default(),
            news: Notify::new(),
            far: RefCell::default(),
            has_changed: Cell::new(false),
        })
    }

    /// This process.
    pub fn id(&self) -> u64 {
        self.swim.borrow().me().identity.id
    }

    /// Where the other VMs that share the traffic listen: those of this hall, and the rest.
    pub fn sharers_by_distance(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let swim = self.swim.borrow();
        let me = &swim.me().identity;
        let entry = self.sharing.entry();
        let others = entry.iter().map(|member| &member.identity).filter(|other| other.id != me.id);
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|other| other.hall == me.hall);
        let addresses =
            |list: Vec<&Identity>| list.iter().map(|identity| identity.peer_address).collect();
        (addresses(near), addresses(far))
    }

    /// Where all other VMs listen.
    pub fn others(&self) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let me = swim.me().identity.id;
        let others = swim.members().filter(|member| member.identity.id != me);
        others.map(|member| member.identity.peer_address).collect()
    }

    /// Where those of them listen that one VM tells of something at once; of larger fleets the rest hear it from those.
    pub fn told_at_once(&self) -> Vec<SocketAddr> {
        let mut to = self.others();
        to.truncate(TOLD_AT_ONCE);
        to
    }

    /// Where the VMs that share the traffic listen, and some of the others.
    pub fn sharers_and(&self, others: usize) -> Vec<SocketAddr> {
        let (mut to, far) = self.sharers_by_distance();
        to.extend(far);
        let rest: Vec<SocketAddr> =
            self.others().into_iter().filter(|other| !to.contains(other)).take(others).collect();
        to.extend(rest);
        to
    }

    /// Where some other VMs listen, taken by turns: those of this hall, if it has others.
    pub fn by_turns(&self, first: usize, count: usize) -> Vec<SocketAddr> {
        let swim = self.swim.borrow();
        let me = &swim.me().identity;
        let is_other = |other: &&Identity| other.id != me.id;
        let others = || swim.members().map(|member| &member.identity).filter(is_other);
        let near = others().filter(|other| other.hall == me.hall).count();
        let is_asked = |other: &&Identity| near == 0 || other.hall == me.hall;
        let asked = || others().filter(is_asked).map(|other| other.peer_address);
        let size = if near == 0 { others().count() } else { near };
        (first..first + count.min(size)).filter_map(|turn| asked().nth(turn % size)).collect()
    }

    /// Tells whether this VM has run long enough to tell callers where to go.
    pub fn knows_where(&self, now_ms: u64) -> bool {
        now_ms >= WELCOMED_MS
    }

    /// Tells whether this VM should watch the store.
    pub fn watches(&self) -> bool {
        self.duty.watches(self.swim.borrow().is_isolated())
    }

    /// Waits until this VM should watch the store, or no longer should.
    pub async fn until_watches(&self, should: bool) {
        self.duty.until_watches(should, || self.swim.borrow().is_isolated()).await;
    }

    /// Where the other VMs of this hall that watch the store are reached.
    pub fn hall_watchers(&self) -> Vec<SocketAddr> {
        self.duty.hall_watchers()
    }

    /// Tells whether callers are sent to this VM.
    pub fn takes_callers(&self) -> bool {
        self.sharing.is_placed()
    }

    /// Whether callers are sent to this VM and to another that tells it something.
    fn between(&self, teller: u64) -> Between {
        let is_placed = |id| self.sharing.entry().iter().any(|member| member.identity.id == id);
        match (self.takes_callers(), is_placed(teller)) {
            (true, true) => Between::Placed,
            (true, false) => Between::PlacedFromStray,
            (false, _) => Between::StrayFromPlaced,
        }
    }

    /// Tells whether a VM is held for dead, rather than for stopped or away from where callers are sent.
    pub fn is_dead(&self, id: u64) -> bool {
        let swim = self.swim.borrow();
        swim.member(id).is_some_and(|member| member.state == MemberState::Dead)
    }

    /// How many VMs there are, this one included.
    pub fn member_count(&self) -> usize {
        self.swim.borrow().members().count()
    }

    /// Tells whether this VM cannot reach the store.
    pub fn has_lost_store(&self) -> bool {
        self.duty.has_lost_store()
    }

    /// Tells whether some VM was without the store a short while ago.
    pub fn had_store_trouble(&self, within_ms: u64, now_ms: u64) -> bool {
        self.duty.had_trouble(within_ms, now_ms)
    }

    /// Notes whether this VM can reach the store; the others hear it at once.
    pub fn set_lost_store(&self, inner: &Inner, is_lost: bool) {
        if self.duty.note_own(is_lost, inner.now_ms()) {
            self.tell_standing(inner);
            self.choose(inner);
        }
    }

    /// Names addresses where other VMs may be.
    pub fn hint(&self, seeds: Vec<SocketAddr>) {
        self.swim.borrow_mut().hint(seeds);
    }

    /// Says that there is something to tell of backend servers.
    pub fn has_news(&self) {
        self.news.notify_one();
    }

    /// Waits until there is something to tell of backend servers.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Tells others which configuration is in force here.
    pub fn set_version(&self, inner: &Inner) {
        let version = inner.catalog().map_or(0, |catalog| catalog.version);
        let out = self.swim.borrow_mut().set_table(version);
        self.send_all(inner, out);
        self.choose(inner);
    }

    /// Tells others how new what this VM knows is.
    pub fn tell_standing(&self, inner: &Inner) {
        self.tell_changed(inner, &[]);
    }

    /// Tells others what has changed about members, with how new what this VM knows is.
    fn tell_changed(&self, inner: &Inner, changed: &[Member]) {
        let to = self.told_at_once();
        let from = Some(self.swim.borrow().me().to_update());
        let updates = changed.iter().map(Member::to_update).collect();
        let standing = Some(news::standing(inner));
        self.send(&inner.meters, &Packet { from, updates, standing, ..Packet::default() }, &to);
    }

    /// Tells others that this VM leaves.
    pub fn leave(&self, inner: &Inner) {
        let out = self.swim.borrow_mut().leave(inner.now_ms());
        self.send_all(inner, out);
        self.choose(inner);
    }

    /// Sends a packet to some VMs.
    pub fn send(&self, meters: &Meters, packet: &Packet, to: &[SocketAddr]) {
        let datagram = self.key.seal(packet);
        if datagram.len() > PACKET_LIMIT_BYTES {
            warn!(bytes = datagram.len(), "a datagram is too large");
        }
        let cause = match packet.body {
            Some(Body::Evidence(_)) => FarCause::Evidence,
            Some(Body::Allotments(_)) => FarCause::Allotments,
            Some(Body::LoanQuestion(_) | Body::Loan(_)) => FarCause::Repeats,
            Some(Body::Suspects(_)) => FarCause::Suspects,
            Some(Body::Leavers(_)) => FarCause::Leavers,
            _ => FarCause::Members,
        };
        let far = to.iter().filter(|address| self.is_far(**address)).count();
        meters.count_far(cause, datagram.len() * far);
        for address in to {
            // One that cannot be sent is lost like any other; what it says is told again.
            let _ = self.socket.try_send_to(&datagram, *address);
        }
    }

    /// Tells whether a VM stands in another data hall, as far as known.
    pub fn is_far(&self, address: SocketAddr) -> bool {
        self.far.borrow().contains(&address)
    }

    /// Sends packets of the members' protocol.
    fn send_all(&self, inner: &Inner, out: Vec<Outgoing>) {
        if out.is_empty() {
            return;
        }
        let standing = news::standing(inner);
        for Outgoing { to, mut packet } in out {
            packet.standing = Some(standing);
            self.send(&inner.meters, &packet, &[to]);
        }
    }

    /// Chooses anew who takes callers and who watches the store.
    pub fn choose(&self, inner: &Inner) {
        self.has_changed.set(false);
        let swim = self.swim.borrow();
        let members: Vec<&Member> = swim.members().collect();
        let me = &swim.me().identity;
        let vms_a_hall = inner.settings.entry.vms_a_hall;
        let chosen = choose_entry(members.iter().copied(), vms_a_hall, inner.slots());
        let state = |member: &Member| (member.identity.caller_address, member.takes_callers());
        let before: Vec<_> = self.sharing.entry().iter().map(state).collect();
        let after: Vec<_> = chosen.iter().copied().map(state).collect();
        if before != after {
            info!(members = members.len(), entry = ?after, "entry set");
        }
        self.sharing.place(chosen.into_iter().cloned().collect());
        inner.repeats.place(swim.vm_count(), self.sharing.is_placed());
        self.duty.choose(&me.hall, &members, me.id);
        let far = members.iter().filter(|member| member.identity.hall != me.hall);
        *self.far.borrow_mut() = far.map(|member| member.identity.peer_address).collect();
    }
}

/// Takes in datagrams for as long as the process runs.
pub(crate) async fn receive(inner: Rc<Inner>) {
    let mut buffer = vec![0; PACKET_LIMIT_BYTES + 1];
    loop {
        let (count, from) = match inner.mesh.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                debug!(%error, "a datagram could not be received");
                continue;
            }
        };
        match inner.mesh.key.unseal(&buffer[..count]) {
            Ok(packet) => take(&inner, from, &packet),
            Err(error) => debug!(%from, ?error, "datagram refused"),
        }
    }
}

/// Does what is due for as long as the process runs.
pub(crate) async fn tick(inner: Rc<Inner>) {
    let mut last = Reading::take(&inner, inner.now_ms());
    loop {
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
        let now_ms = inner.now_ms();
        let reading = Reading::take(&inner, now_ms);
        reading.log_gap(last);
        last = reading;
        let out = inner.mesh.swim.borrow_mut().tick(now_ms);
        inner.mesh.send_all(&inner, out);
        take_changes(&inner, Found::Here);
        if inner.mesh.has_changed.get() {
            inner.mesh.choose(&inner);
        }
        if now_ms >= SETTLE_MS {
            inner.mesh.duty.settle();
        }
    }
}

/// What the clocks said at a tick.
#[derive(Clone, Copy)]
struct Reading {
    /// The time.
    now_ms: u64,
    /// How much of it the machine was suspended.
    asleep_ms: u64,
}

impl Reading {
    /// Reads the clocks.
    fn take(inner: &Inner, now_ms: u64) -> Reading {
        Reading { now_ms, asleep_ms: inner.clock.asleep_ms() }
    }

    /// Logs that the VM stood still or was suspended since the last tick.
    fn log_gap(self, last: Reading) {
        let gap_ms = (self.now_ms - last.now_ms).saturating_sub(TICK_MS);
        if gap_ms >= GAP_MS {
            let asleep_ms = self.asleep_ms.saturating_sub(last.asleep_ms);
            info!(gap_ms, asleep_ms, "stood still");
        }
    }
}

/// Takes a datagram in.
fn take(inner: &Rc<Inner>, from: SocketAddr, packet: &Packet) {
    let now_ms = inner.now_ms();
    match &packet.body {
        Some(Body::Evidence(told)) => {
            if evidence::take(inner, told, now_ms) {
                inner.wake_all();
            }
            leavers::compare(inner, from, told.leavers, now_ms);
            return;
        }
        Some(Body::Leavers(said)) => {
            leavers::hear(inner, from, said, now_ms);
            return;
        }
        Some(Body::Allotments(told)) => {
            let catalog = inner.catalog();
            let workspaces = catalog.as_ref().and_then(|catalog| catalog.workspaces.as_ref());
            let between = inner.mesh.between(told.reporter);
            inner.admission.take(from, told, workspaces, between, now_ms);
            return;
        }
        Some(Body::LoanQuestion(question)) => {
            let body = inner.repeats.lend(from, question, now_ms).map(Body::Loan);
            if body.is_some() {
                inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, &[from]);
            }
            return;
        }
        Some(Body::Loan(loan)) => {
            inner.repeats.borrow(from, loan, now_ms);
            return;
        }
        Some(Body::Suspects(said)) => {
            inner.suspicions.hear(from, said, &inner.mesh, &inner.meters, now_ms);
            return;
        }
        Some(Body::LeaseQuestion(question)) => {
            let version = inner.catalog().map_or(0, |catalog| catalog.version);
            let answer = inner.leases.answer(question, version, now_ms);
            let body = answer.map(Body::LeaseAnswer);
            if body.is_some() {
                inner.mesh.send(&inner.meters, &Packet { body, ..Packet::default() }, &[from]);
            }
            return;
        }
        Some(Body::LeaseAnswer(answer)) => {
            let version = inner.catalog().map_or(0, |catalog| catalog.version);
            inner.leases.take(answer, version);
            return;
        }
        _ => {}
    }
    let out = inner.mesh.swim.borrow_mut().receive(from, packet, now_ms);
    inner.mesh.send_all(inner, out);
    if let (Some(sender), Some(standing)) = (&packet.from, packet.standing) {
        take_standing(inner, from, sender, standing);
    }
    take_changes(inner, Found::Told);
}

/// Takes in how new what another VM knows is.
fn take_standing(
    inner: &Rc<Inner>,
    from: SocketAddr,
    sender: &leverstream_peer::MemberUpdate,
    standing: Standing,
) {
    let now_ms = inner.now_ms();
    inner.repeats.hear_vms(standing.vms, now_ms);
    inner.suspicions.compare(from, standing.suspects, &inner.mesh, &inner.meters, now_ms);
    leavers::compare(inner, from, standing.leavers, now_ms);
    if inner.mesh.duty.note(sender.id, standing.store_lost, now_ms) {
        inner.mesh.choose(inner);
    }
    news::hear(inner, from, standing, sender.hall == inner.settings.hall);
}

/// Who found out that members have changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Found {
    /// This VM.
    Here,
    /// Another, which tells the others itself.
    Told,
}

/// Has it chosen anew who takes callers if members have changed, by the next tick: where a whole fleet starts,
/// each datagram tells of some.
///
/// That one of those who take callers no longer answers all VMs hear at once, from the one that finds out: each of them
/// tells callers where to go. Where each who heard told all others again, a VM of 300 sent 2.9 MB in a second.
fn take_changes(inner: &Inner, found: Found) {
    let changed = inner.mesh.swim.borrow_mut().take_changed();
    if changed.is_empty() {
        return;
    }
    for member in &changed {
        debug!(vm = %member.identity.caller_address, state = ?member.state, "member");
    }
    let took_callers = |member: &Member| {
        let entry = inner.mesh.sharing.entry();
        let held = entry.iter().find(|held| held.identity.id == member.identity.id);
        held.is_some_and(Member::takes_callers)
    };
    let lost = |member: &Member| !member.takes_callers() && took_callers(member);
    let lost: Vec<Member> = changed.into_iter().filter(lost).collect();
    inner.mesh.has_changed.set(true);
    if !lost.is_empty() {
        inner.mesh.choose(inner);
        if found == Found::Here {
            inner.mesh.tell_changed(inner, &lost);
        }
    }
}
