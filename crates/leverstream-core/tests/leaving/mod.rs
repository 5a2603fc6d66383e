//! A simulated fleet: VMs with the code that decides, datagrams, a store that is away for a while, and backend servers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use leverstream_catalog::{Backend, Incarnation};
use leverstream_core::{Fleet, Outcome, RouteKey, Want, Words, WordsTold, choose};
use leverstream_health::BackendKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// How long a request is worked on, in milliseconds.
const WORK_MS: u64 = 50;

/// How often VMs that share the traffic tell each other something.
const EVIDENCE_MS: u64 = 30;

/// How often a VM pings another.
const PING_MS: u64 = 400;

/// How often entries are written to the store.
const HEARTBEAT_MS: u64 = 1_500;

/// How many VMs that do not share the traffic are told at once.
const OTHERS_TOLD: usize = 48;

/// One request in so many goes to any VM.
const STRAY_ONE_IN: u32 = 20;

/// What a datagram takes besides the starts it tells of, and each of those, in bytes.
const DATAGRAM_BYTES: (u64, u64) = (30, 45);

/// What is played.
#[derive(Clone, Debug)]
pub struct Story {
    /// How many VMs there are.
    pub vms: usize,
    /// How many of them share the traffic.
    pub placed: usize,
    /// How many backend servers there are.
    pub servers: usize,
    /// How many of them leave, from one second on.
    pub leaving: usize,
    /// Over how long.
    pub over_ms: u64,
    /// For how long one serves on where there is no other.
    pub last_resort_ms: u64,
    /// When the store is back, which is away from the start on.
    pub store_back_ms: u64,
    /// Requests a second.
    pub requests_per_s: u32,
    /// What befalls VMs: when, which, what.
    pub events: Vec<(u64, usize, Event)>,
    /// The share of datagrams that are lost.
    pub lost: f64,
    /// The share that comes twice.
    pub doubled: f64,
    /// How late they come at the most.
    pub late_ms: u64,
    /// How long it is played.
    pub length_ms: u64,
    /// What decides by chance.
    pub seed: u64,
}

/// What befalls a VM, for so many milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// It is gone and starts anew, knowing nothing.
    Kill(u64),
    /// It stands still.
    Freeze(u64),
    /// No datagram reaches it or leaves it, nor does the store.
    Cut(u64),
}

/// What backend servers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// The longest time from a word to a VM to a request of that VM, in milliseconds.
    pub longest_own_ms: u64,
    /// The longest time from the first word to any VM to a request of any, in milliseconds.
    pub longest_any_ms: u64,
    /// Requests that found no backend server in service.
    pub refused: usize,
    /// Requests.
    pub requests: usize,
    /// What the busiest VM sent about who leaves, in bytes.
    pub busiest_bytes: u64,
}

/// One VM.
struct Vm {
    /// What it knows.
    fleet: Fleet,
    /// How it compares.
    compared: Words,
    /// Its route.
    route: RouteKey,
    /// Until when it is gone or stands still.
    away_until_ms: u64,
    /// Until when it is cut off.
    cut_until_ms: u64,
    /// Which life this is.
    life: u32,
    /// When it was first told by which backend server, in this life.
    words: HashMap<usize, u64>,
    /// What it sent about who leaves.
    bytes: u64,
}

/// What happens at a moment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A backend server has answered a request of a VM's life.
    Answer { vm: usize, life: u32, server: usize, key: u32, since_ms: u64 },
    /// A VM hears of starts that leave.
    Told { from: usize, to: usize, starts: Vec<usize>, asks: bool },
    /// A VM hears another's fingerprint.
    Compared { from: usize, to: usize, fingerprint: u64 },
}

/// The world.
struct World {
    /// What is played.
    story: Story,
    /// The VMs; the first share the traffic.
    vms: Vec<Vm>,
    /// When the first word of each backend server was passed on.
    first_words: HashMap<usize, u64>,
    /// What is due.
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    /// How much was ever due, for an order.
    count: u64,
    /// What decides by chance.
    rng: StdRng,
    /// What was seen.
    seen: Seen,
}

/// Plays a story.
pub fn play(story: Story) -> Seen {
    let mut world = World {
        vms: (0..story.vms).map(|_| start(&story, 0, 0)).collect(),
        first_words: HashMap::new(),
        due: BinaryHeap::new(),
        count: 0,
        rng: StdRng::seed_from_u64(story.seed),
        seen: Seen::default(),
        story,
    };
    for now_ms in 0..world.story.length_ms {
        world.befall(now_ms);
        world.do_due(now_ms);
        world.tick(now_ms);
    }
    world.seen.busiest_bytes = world.vms.iter().map(|vm| vm.bytes).max().unwrap_or(0);
    world.seen
}

/// A VM that has just read the list from another, which tells of no word.
fn start(story: &Story, life: u32, now_ms: u64) -> Vm {
    let mut fleet = Fleet::default();
    fleet.set_last_resort(story.last_resort_ms);
    (0..story.servers).for_each(|server| {
        fleet.set(entry(server, false), 1, now_ms);
    });
    let route = fleet.route_key("r", 400);
    let (compared, words) = (Words::default(), HashMap::new());
    Vm { fleet, compared, route, away_until_ms: 0, cut_until_ms: 0, life, words, bytes: 0 }
}

/// The entry of a backend server.
fn entry(server: usize, is_leaving: bool) -> Backend {
    Backend {
        instance: format!("i-{server}"),
        service: "shop".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        hall: "h1".into(),
        slots: 4,
        is_leaving,
        born_ms: 7,
        cold_left_ms: 0,
    }
}

/// The start of a backend server.
fn of(server: usize) -> Incarnation {
    entry(server, false).incarnation()
}

/// The backend server of a start.
fn server(of: &Incarnation) -> usize {
    of.instance[2..].parse().expect("a number")
}

impl World {
    /// When a backend server begins to say that it leaves.
    fn leaves_ms(&self, server: usize) -> Option<u64> {
        let Story { leaving, over_ms, .. } = self.story;
        (server < leaving).then(|| 1_000 + over_ms * server as u64 / leaving as u64)
    }

    /// Lets happen what befalls VMs.
    fn befall(&mut self, now_ms: u64) {
        let due: Vec<(usize, Event)> = self
            .story
            .events
            .iter()
            .filter(|event| event.0 == now_ms)
            .map(|event| (event.1, event.2))
            .collect();
        for (at, event) in due {
            let life = self.vms[at].life + 1;
            match event {
                Event::Kill(for_ms) => {
                    let bytes = self.vms[at].bytes;
                    self.vms[at] = start(&self.story, life, now_ms + for_ms);
                    self.vms[at].bytes = bytes;
                    self.vms[at].away_until_ms = now_ms + for_ms;
                }
                Event::Freeze(for_ms) => {
                    self.vms[at].away_until_ms = now_ms + for_ms;
                    self.vms[at].words.clear();
                }
                Event::Cut(for_ms) => self.vms[at].cut_until_ms = now_ms + for_ms,
            }
        }
    }

    /// Does what is due.
    fn do_due(&mut self, now_ms: u64) {
        while self.due.peek().is_some_and(|Reverse((at_ms, ..))| *at_ms <= now_ms) {
            let Some(Reverse((_, _, due))) = self.due.pop() else { return };
            match due {
                Due::Answer { vm, life, server, key, since_ms } => {
                    self.answer(vm, life, server, BackendKey(key), since_ms, now_ms);
                }
                Due::Told { from, to, starts, asks } => self.hear(from, to, &starts, asks, now_ms),
                Due::Compared { from, to, fingerprint } => {
                    self.compare(from, to, fingerprint, now_ms);
                }
            }
        }
    }

    /// Sends requests, pings and evidence, and lets the store tell.
    fn tick(&mut self, now_ms: u64) {
        if self.rng.random_range(0..1_000) < self.story.requests_per_s {
            self.request(now_ms);
        }
        let placed = self.story.placed;
        for vm in 0..self.story.vms {
            if (now_ms + vm as u64).is_multiple_of(PING_MS) {
                let to = self.rng.random_range(0..self.story.vms);
                self.tell_fingerprint(vm, to, now_ms);
                self.tell_fingerprint(to, vm, now_ms);
            }
            if vm < placed && (now_ms + vm as u64).is_multiple_of(EVIDENCE_MS) {
                (0..placed).for_each(|to| self.tell_fingerprint(vm, to, now_ms));
            }
        }
        let back_ms = self.story.store_back_ms;
        if now_ms >= back_ms && (now_ms - back_ms).is_multiple_of(HEARTBEAT_MS) {
            // The first entries after its return still say that all are ready.
            let is_late = now_ms == back_ms;
            for vm in 0..self.story.vms {
                self.read_store(vm, is_late, now_ms);
            }
        }
    }

    /// Lets a VM read the store.
    fn read_store(&mut self, at: usize, is_late: bool, now_ms: u64) {
        if !self.reaches(at, now_ms) {
            return;
        }
        for server in 0..self.story.servers {
            let is_leaving =
                !is_late && self.leaves_ms(server).is_some_and(|at_ms| at_ms <= now_ms);
            self.vms[at].fleet.set(entry(server, is_leaving), now_ms, now_ms);
        }
    }

    /// Has a caller send a request to a VM.
    fn request(&mut self, now_ms: u64) {
        let is_stray = self.rng.random_range(0..STRAY_ONE_IN) == 0;
        let at =
            self.rng.random_range(0..if is_stray { self.story.vms } else { self.story.placed });
        if self.vms[at].away_until_ms > now_ms {
            return;
        }
        self.seen.requests += 1;
        let want = Want {
            service: "shop",
            hall: "h1",
            is_repeatable: true,
            tried: &[],
            waited_ms: 400,
            far_bytes_cost: 0.0,
            objective_ms: 400,
            floor_share: 0.73,
            requests_fail: false,
            requests_per_s: None,
        };
        let vm = &mut self.vms[at];
        let Some(pick) = choose(&vm.fleet, &want, now_ms, &mut self.rng) else {
            self.seen.refused += 1;
            return;
        };
        let server = server(&vm.fleet.incarnation(pick.key));
        vm.fleet.begin(pick.key, vm.route, now_ms);
        let own_ms = vm.words.get(&server).map_or(0, |word_ms| now_ms - word_ms);
        let any_ms = self.first_words.get(&server).map_or(0, |word_ms| now_ms - word_ms);
        self.seen.longest_own_ms = self.seen.longest_own_ms.max(own_ms);
        self.seen.longest_any_ms = self.seen.longest_any_ms.max(any_ms);
        let life = self.vms[at].life;
        let answer = Due::Answer { vm: at, life, server, key: pick.key.0, since_ms: now_ms };
        self.at(now_ms + WORK_MS, answer);
    }

    /// Takes in an answer, which tells whether its backend server leaves.
    fn answer(
        &mut self,
        at: usize,
        life: u32,
        server: usize,
        key: BackendKey,
        since_ms: u64,
        now_ms: u64,
    ) {
        if self.vms[at].life != life {
            return;
        }
        let away_until_ms = self.vms[at].away_until_ms;
        if away_until_ms > now_ms {
            self.at(away_until_ms, Due::Answer { vm: at, life, server, key: key.0, since_ms });
            return;
        }
        let leaves = self.leaves_ms(server).is_some_and(|at_ms| at_ms <= now_ms);
        let vm = &mut self.vms[at];
        let is_news = leaves && vm.fleet.leave(&of(server), now_ms);
        let good = Outcome::Good { time_ms: WORK_MS as f64, bytes: 100 };
        vm.fleet.end(key, since_ms, vm.route, good, now_ms);
        if leaves {
            vm.words.entry(server).or_insert(now_ms);
            self.first_words.entry(server).or_insert(now_ms);
        }
        if is_news {
            let mut others: Vec<usize> = (self.story.placed..self.story.vms).collect();
            others.truncate(OTHERS_TOLD);
            let sharers = 0..self.story.placed;
            sharers.chain(others).for_each(|to| self.tell(at, to, vec![server], false, now_ms));
        }
    }

    /// Takes in what another VM tells.
    fn hear(&mut self, from: usize, to: usize, starts: &[usize], asks: bool, now_ms: u64) {
        let told = WordsTold {
            starts: starts.iter().copied().map(of).collect(),
            asks,
            ..WordsTold::default()
        };
        let heard = Words::hear(told, &mut self.vms[to].fleet, now_ms);
        if let Some(told) = heard.answer {
            self.tell(to, from, told.starts.iter().map(server).collect(), told.asks, now_ms);
        }
    }

    /// Takes in another VM's fingerprint.
    fn compare(&mut self, from: usize, to: usize, fingerprint: u64, now_ms: u64) {
        let is_sharer = to < self.story.placed;
        let vm = &mut self.vms[to];
        if let Some(told) = vm.compared.compare(fingerprint, &vm.fleet, is_sharer, now_ms) {
            self.tell(to, from, told.starts.iter().map(server).collect(), told.asks, now_ms);
        }
    }

    /// Tells a VM of starts that leave.
    fn tell(&mut self, from: usize, to: usize, starts: Vec<usize>, asks: bool, now_ms: u64) {
        let (head, each) = DATAGRAM_BYTES;
        self.vms[from].bytes += head + each * starts.len() as u64;
        self.send(from, to, &Due::Told { from, to, starts, asks }, now_ms);
    }

    /// Tells a VM the fingerprint of what another knows.
    fn tell_fingerprint(&mut self, from: usize, to: usize, now_ms: u64) {
        let fingerprint = self.vms[from].fleet.words_fingerprint();
        self.send(from, to, &Due::Compared { from, to, fingerprint }, now_ms);
    }

    /// Sends a datagram, which may be lost, late or doubled.
    fn send(&mut self, from: usize, to: usize, due: &Due, now_ms: u64) {
        let copies = 1 + usize::from(self.rng.random_bool(self.story.doubled));
        for _ in 0..copies {
            let is_lost = self.rng.random_bool(self.story.lost);
            let at_ms = now_ms + self.rng.random_range(1..=self.story.late_ms);
            if from != to && !is_lost && self.reaches(from, now_ms) && self.reaches(to, at_ms) {
                self.at(at_ms, due.clone());
            }
        }
    }

    /// Tells whether a VM is there and not cut off.
    fn reaches(&self, vm: usize, at_ms: u64) -> bool {
        self.vms[vm].away_until_ms <= at_ms && self.vms[vm].cut_until_ms <= at_ms
    }

    /// Has something happen at a moment.
    fn at(&mut self, at_ms: u64, due: Due) {
        self.count += 1;
        self.due.push(Reverse((at_ms, self.count, due)));
    }
}
