//! The matrix of faults.

/// The effect of a fault on one request or check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// No effect.
    None,
    /// The connection is refused.
    Refuse,
    /// The work never ends.
    Stall,
    /// The work takes longer by this factor.
    Slow(f64),
    /// The answer is an error.
    Error,
}

/// A fault: its effect, the affected backend servers and its timing.
#[derive(Clone, Copy)]
pub struct Fault {
    /// The name in reports.
    pub name: &'static str,
    /// Whether a backend server is sick for the VMs that can reach it.
    pub sick: fn(backend: usize) -> bool,
    /// The effect on a request from a VM to a backend server; `chance` is a random number from 0 to 1.
    pub work: fn(vm: usize, backend: usize, since_ms: u64, chance: f64) -> Effect,
    /// Whether a health check passes if the backend server accepts the connection.
    pub check: fn(backend: usize, since_ms: u64) -> bool,
    /// Whether the path from a VM to a backend server is cut, so that an ejection by this VM is correct.
    pub is_cut: fn(vm: usize, backend: usize) -> bool,
}

/// Selects no backend server.
fn no_backend(_: usize) -> bool {
    false
}

/// Selects the first backend server.
fn first(backend: usize) -> bool {
    backend == 0
}

/// Selects the first two backend servers.
fn first_two(backend: usize) -> bool {
    backend < 2
}

/// Lets all health checks pass, whatever the effect on requests.
fn checks_pass(_: usize, _: u64) -> bool {
    true
}

/// Cuts no path.
fn no_cut(_: usize, _: usize) -> bool {
    false
}

/// Returns a fault of the first backend server that health checks don't detect.
const fn fault_of_first(name: &'static str, work: fn(usize, usize, u64, f64) -> Effect) -> Fault {
    Fault { name, sick: first, work, check: checks_pass, is_cut: no_cut }
}

/// Returns a fault of the whole service.
const fn fault_of_all(name: &'static str, work: fn(usize, usize, u64, f64) -> Effect) -> Fault {
    Fault { name, sick: no_backend, work, check: checks_pass, is_cut: no_cut }
}

/// Returns `effect` for the first backend server and no effect for the others.
fn effect_at_first(backend: usize, effect: Effect) -> Effect {
    if backend == 0 { effect } else { Effect::None }
}

/// Returns a stall of the first backend server in the first half of each period.
fn flapping(backend: usize, since_ms: u64, period_ms: u64) -> Effect {
    let is_sick = since_ms % period_ms < period_ms / 2;
    effect_at_first(backend, if is_sick { Effect::Stall } else { Effect::None })
}

/// The matrix of faults.
pub const FAULTS: [Fault; 19] = [
    fault_of_all("healthy", |_, _, _, _| Effect::None),
    fault_of_first("crash", |_, b, _, _| effect_at_first(b, Effect::Refuse)),
    fault_of_first("stall of all work", |_, b, _, _| effect_at_first(b, Effect::Stall)),
    fault_of_first("stall of a fifth", |_, b, _, chance| {
        effect_at_first(b, if chance < 0.2 { Effect::Stall } else { Effect::None })
    }),
    fault_of_first("slow by 3", |_, b, _, _| effect_at_first(b, Effect::Slow(3.0))),
    fault_of_first("slow by 10", |_, b, _, _| effect_at_first(b, Effect::Slow(10.0))),
    fault_of_first("errors on a third", |_, b, _, chance| {
        effect_at_first(b, if chance < 0.33 { Effect::Error } else { Effect::None })
    }),
    fault_of_first("flapping, 4 s", |_, b, since_ms, _| flapping(b, since_ms, 4_000)),
    fault_of_first("flapping, 20 s", |_, b, since_ms, _| flapping(b, since_ms, 20_000)),
    Fault {
        name: "checks fail, work is well",
        sick: no_backend,
        work: |_, _, _, _| Effect::None,
        check: |backend, _| backend >= 3,
        is_cut: no_cut,
    },
    Fault {
        name: "all checks fail",
        sick: no_backend,
        work: |_, _, _, _| Effect::None,
        check: |_, _| false,
        is_cut: no_cut,
    },
    Fault {
        name: "cut from one VM",
        sick: no_backend,
        work: |vm, b, _, _| if vm == 0 { effect_at_first(b, Effect::Stall) } else { Effect::None },
        check: checks_pass,
        is_cut: |vm, backend| vm == 0 && backend == 0,
    },
    Fault {
        name: "cut from one hall",
        sick: no_backend,
        work: |vm, b, _, _| {
            if vm % 3 == 0 { effect_at_first(b, Effect::Stall) } else { Effect::None }
        },
        check: checks_pass,
        is_cut: |vm, backend| vm % 3 == 0 && backend == 0,
    },
    fault_of_first("cold start", |_, b, since_ms, _| {
        effect_at_first(b, if since_ms < 8_000 { Effect::Slow(4.0) } else { Effect::None })
    }),
    fault_of_all("whole service slow by 10", |_, _, _, _| Effect::Slow(10.0)),
    fault_of_all("whole service, half errors", |_, _, _, chance| {
        if chance < 0.5 { Effect::Error } else { Effect::None }
    }),
    fault_of_all("whole service stalls", |_, _, _, _| Effect::Stall),
    Fault {
        name: "a stall and a slow one",
        sick: first_two,
        work: |_, b, _, _| match b {
            0 => Effect::Stall,
            1 => Effect::Slow(10.0),
            _ => Effect::None,
        },
        check: checks_pass,
        is_cut: no_cut,
    },
    Fault {
        name: "a stall, other checks fail",
        sick: first,
        work: |_, b, _, _| effect_at_first(b, Effect::Stall),
        check: |backend, _| backend == 0 || backend > 4,
        is_cut: no_cut,
    },
];
