/// What a fault does to one request or check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// Nothing.
    None,
    /// The connection is refused.
    Refuse,
    /// The work never ends.
    Stall,
    /// The work takes so many times as long.
    Slow(f64),
    /// The answer tells of a fault.
    Error,
}

/// A fault: what it does, to whom, when.
#[derive(Clone, Copy)]
pub struct Fault {
    /// The name in reports.
    pub name: &'static str,
    /// The backend servers that are sick, for those who can reach them.
    pub sick: fn(backend: usize) -> bool,
    /// What happens to work from a VM at a backend server; chance is a number from 0 to 1.
    pub work: fn(vm: usize, backend: usize, since_ms: u64, chance: f64) -> Effect,
    /// Whether a health check is answered well, if the connection is.
    pub check: fn(backend: usize, since_ms: u64) -> bool,
    /// Whether whole paths are cut, so that an ejection by the VMs behind them is right.
    pub is_cut: fn(vm: usize, backend: usize) -> bool,
}

/// No backend server.
fn nobody(_: usize) -> bool {
    false
}

/// The first backend server.
fn first(backend: usize) -> bool {
    backend == 0
}

/// The first two backend servers.
fn first_two(backend: usize) -> bool {
    backend < 2
}

/// Checks are answered well, whatever the work does.
fn well(_: usize, _: u64) -> bool {
    true
}

/// No path is cut.
fn no_cut(_: usize, _: usize) -> bool {
    false
}

/// A fault of the first backend server that hides from checks.
const fn of_first(name: &'static str, work: fn(usize, usize, u64, f64) -> Effect) -> Fault {
    Fault { name, sick: first, work, check: well, is_cut: no_cut }
}

/// A fault of the whole service.
const fn of_all(name: &'static str, work: fn(usize, usize, u64, f64) -> Effect) -> Fault {
    Fault { name, sick: nobody, work, check: well, is_cut: no_cut }
}

/// Gives an effect to work at the first backend server.
fn at_first(backend: usize, effect: Effect) -> Effect {
    if backend == 0 { effect } else { Effect::None }
}

/// Gives an effect for the first half of each period.
fn flapping(backend: usize, since_ms: u64, period_ms: u64) -> Effect {
    let is_sick = since_ms % period_ms < period_ms / 2;
    at_first(backend, if is_sick { Effect::Stall } else { Effect::None })
}

/// The matrix of faults.
pub const FAULTS: [Fault; 19] =
    [
        of_all("healthy", |_, _, _, _| Effect::None),
        of_first("crash", |_, b, _, _| at_first(b, Effect::Refuse)),
        of_first("stall of all work", |_, b, _, _| at_first(b, Effect::Stall)),
        of_first("stall of a fifth", |_, b, _, chance| {
            at_first(b, if chance < 0.2 { Effect::Stall } else { Effect::None })
        }),
        of_first("slow by 3", |_, b, _, _| at_first(b, Effect::Slow(3.0))),
        of_first("slow by 10", |_, b, _, _| at_first(b, Effect::Slow(10.0))),
        of_first("errors on a third", |_, b, _, chance| {
            at_first(b, if chance < 0.33 { Effect::Error } else { Effect::None })
        }),
        of_first("flapping, 4 s", |_, b, since_ms, _| flapping(b, since_ms, 4_000)),
        of_first("flapping, 20 s", |_, b, since_ms, _| flapping(b, since_ms, 20_000)),
        Fault {
            name: "checks fail, work is well",
            sick: nobody,
            work: |_, _, _, _| Effect::None,
            check: |backend, _| backend >= 3,
            is_cut: no_cut,
        },
        Fault {
            name: "all checks fail",
            sick: nobody,
            work: |_, _, _, _| Effect::None,
            check: |_, _| false,
            is_cut: no_cut,
        },
        Fault {
            name: "cut from one VM",
            sick: nobody,
            work: |vm, b, _, _| if vm == 0 { at_first(b, Effect::Stall) } else { Effect::None },
            check: well,
            is_cut: |vm, backend| vm == 0 && backend == 0,
        },
        Fault {
            name: "cut from one hall",
            sick: nobody,
            work: |vm, b, _, _| if vm % 3 == 0 { at_first(b, Effect::Stall) } else { Effect::None },
            check: well,
            is_cut: |vm, backend| vm % 3 == 0 && backend == 0,
        },
        of_first("cold start", |_, b, since_ms, _| {
            at_first(b, if since_ms < 8_000 { Effect::Slow(4.0) } else { Effect::None })
        }),
        of_all("whole service slow by 10", |_, _, _, _| Effect::Slow(10.0)),
        of_all("whole service, half errors", |_, _, _, chance| {
            if chance < 0.5 { Effect::Error } else { Effect::None }
        }),
        of_all("whole service stalls", |_, _, _, _| Effect::Stall),
        Fault {
            name: "a stall and a slow one",
            sick: first_two,
            work: |_, b, _, _| match b {
                0 => Effect::Stall,
                1 => Effect::Slow(10.0),
                _ => Effect::None,
            },
            check: well,
            is_cut: no_cut,
        },
        Fault {
            name: "a stall, other checks fail",
            sick: first,
            work: |_, b, _, _| at_first(b, Effect::Stall),
            check: |backend, _| backend == 0 || backend > 4,
            is_cut: no_cut,
        },
    ];
