//! What befalls VMs and the store while a story is played, and when each was in touch.

use std::time::{Duration, Instant};

use leverstream_standin::platform::Faults as StoreFaults;
use rand::Rng;
use rand::rngs::StdRng;
use rustix::process::Signal;

use crate::site::Site;

/// How long after it was asked to stop a VM is started again.
const STOP_TIME: Duration = Duration::from_millis(700);

/// What befell a fleet.
pub struct Harm {
    /// When something befell each VM, from and to.
    vms: Vec<Vec<(Instant, Instant)>>,
    /// The same for the store.
    store: Vec<(Instant, Instant)>,
    /// VMs that stand still, and until when.
    paused: Vec<(Instant, usize)>,
    /// VMs that stop, and when they are started again.
    stopping: Vec<(Instant, usize)>,
    /// What was done, in order.
    pub story: Vec<String>,
    /// When it began.
    began: Instant,
}

impl Harm {
    /// Nothing has befallen so many VMs.
    pub fn none(vms: usize) -> Harm {
        Harm {
            vms: vec![Vec::new(); vms],
            store: Vec::new(),
            paused: Vec::new(),
            stopping: Vec::new(),
            story: Vec::new(),
            began: Instant::now(),
        }
    }

    /// Does one thing to VMs or the store.
    pub async fn act(&mut self, site: &mut Site, rng: &mut StdRng) {
        let vm = rng.random_range(0..site.vms.len());
        match rng.random_range(0..11) {
            0..=3 => self.kill(site, vm),
            4 | 5 => self.pause(site, vm, rng.random_range(200..2_000)),
            6 => self.stop(site, vm),
            7 => self.kill_all(site),
            8 => self.hang_up(site, vm),
            _ => self.turn_store(site).await,
        }
    }

    /// Lets VMs run on that have stood still for as long as they should, and starts those that have stopped.
    pub fn go_on(&mut self, site: &mut Site) {
        let now = Instant::now();
        for (_, vm) in self.paused.extract_if(.., |(until, _)| *until <= now) {
            site.vms[vm].signal(Signal::CONT);
            // A wake-up that came late was as long a trouble.
            if let Some((_, to)) = self.vms[vm].last_mut() {
                *to = (*to).max(Instant::now());
            }
        }
        for (_, vm) in self.stopping.extract_if(.., |(at, _)| *at <= now) {
            site.vms[vm].restart();
            self.vms[vm].push((now, Instant::now()));
        }
    }

    /// Kills a VM and starts it again.
    pub fn kill(&mut self, site: &mut Site, vm: usize) {
        self.tell(&format!("VM {vm} is killed and starts again"));
        let from = Instant::now();
        site.vms[vm].restart();
        self.vms[vm].push((from, Instant::now()));
    }

    /// Kills all VMs at once and starts them again.
    pub fn kill_all(&mut self, site: &mut Site) {
        self.tell("all VMs are killed");
        let from = Instant::now();
        site.vms.iter_mut().for_each(|vm| vm.process.kill());
        site.vms.iter_mut().for_each(crate::site::Vm::restart);
        let now = Instant::now();
        self.vms.iter_mut().for_each(|troubles| troubles.push((from, now)));
    }

    /// Stops a VM's clock for a while; the rest goes on.
    pub fn pause(&mut self, site: &mut Site, vm: usize, pause_ms: u64) {
        self.tell(&format!("VM {vm} stands still for {pause_ms} ms"));
        let until = Instant::now() + Duration::from_millis(pause_ms);
        site.vms[vm].signal(Signal::STOP);
        self.paused.push((until, vm));
        self.vms[vm].push((Instant::now(), until));
    }

    /// Stops a VM as planned; it is started again a little later.
    pub fn stop(&mut self, site: &mut Site, vm: usize) {
        self.tell(&format!("VM {vm} stops as planned"));
        let at = Instant::now() + STOP_TIME;
        site.vms[vm].signal(Signal::CONT);
        site.vms[vm].signal(Signal::TERM);
        self.stopping.push((at, vm));
        self.vms[vm].push((Instant::now(), at));
    }

    /// Has a VM read its settings again.
    pub fn hang_up(&mut self, site: &Site, vm: usize) {
        self.tell(&format!("VM {vm} is told to read its settings"));
        site.vms[vm].signal(Signal::HUP);
    }

    /// Takes the store away, or brings it back.
    pub async fn turn_store(&mut self, site: &Site) {
        if self.is_store_away() {
            self.bring_store_back(site).await;
            return;
        }
        let far = Instant::now() + Duration::from_secs(3_600);
        self.store.push((Instant::now(), far));
        let away = StoreFaults { away: true, ..StoreFaults::default() };
        site.platform.set_faults(&away).await;
        self.tell("the store is away");
    }

    /// Brings the store back, if it is away.
    pub async fn bring_store_back(&mut self, site: &Site) {
        if !self.is_store_away() {
            return;
        }
        site.platform.set_faults(&StoreFaults::default()).await;
        if let Some((_, until)) = self.store.last_mut() {
            *until = Instant::now();
        }
        self.tell("the store is back");
    }

    /// Tells whether the store is away.
    pub fn is_store_away(&self) -> bool {
        self.store.last().is_some_and(|(_, until)| *until > Instant::now())
    }

    /// Tells whether a VM and the store had run well for so long at a moment.
    pub fn was_in_touch(&self, vm: usize, at: Instant, for_time: Duration) -> bool {
        let befell = |(from, to): &(Instant, Instant)| *from <= at && at < *to + for_time;
        !self.vms[vm].iter().any(befell) && !self.store.iter().any(befell)
    }

    /// Tells whether a VM was killed, stopped or stood still between two moments.
    pub fn befell_vm(&self, vm: usize, from: Instant, to: Instant) -> bool {
        self.vms[vm].iter().any(|(began, ended)| *began <= to && *ended >= from)
    }

    /// Notes what is done.
    pub fn tell(&mut self, what: &str) {
        self.story.push(format!("{:>6} ms: {what}", self.began.elapsed().as_millis()));
    }
}
