//! The commands that show the state of the fleet and of backend servers.

use std::time::Duration;

use leverstream_node::{BackendReport, HealthReport, StatusReport};

use crate::api::Api;
use crate::error::CtlError;
use crate::table::print_json;

/// Prints the members of the fleet and on how many VMs each version is in force.
pub async fn status(api: &Api, json: bool) -> Result<(), CtlError> {
    let report: StatusReport = api.get("/v1/status").await?;
    if json {
        print_json(&report);
        return Ok(());
    }
    let notes = [
        (report.is_isolated, "receives nothing from other VMs"),
        (report.is_stopping, "is shutting down"),
    ];
    for (_, note) in notes.iter().filter(|(is_true, _)| *is_true) {
        println!("{} {note}", report.vm);
    }
    println!(
        "{}: last heard from the store or another VM {} ms ago",
        report.vm, report.news_age_ms
    );
    println!("{:<18}{:<12}{:<10}{:<22}PEERS", "VM", "HALL", "STATE", "CALLERS");
    for member in &report.members {
        println!(
            "{:<18}{:<12}{:<10}{:<22}{}",
            member.id,
            member.hall,
            member.state,
            member.caller_address.to_string(),
            member.peer_address
        );
    }
    println!("{:<18}{:<10}{:<12}SERVED BY", "SERVICE", "VERSION", "IN FORCE");
    for (service, in_force) in &report.services {
        let by = if in_force.taken_over { "leverstream" } else { "scripts" };
        let count = format!("{}/{}", in_force.vms_with_it, in_force.vms_asked);
        println!("{service:<18}{:<10}{count:<12}{by}", in_force.version);
    }
    Ok(())
}

/// Prints why each backend server of a service gets requests or not.
pub async fn health(api: &Api, service: &str, json: bool) -> Result<(), CtlError> {
    let report: HealthReport = api.get(&format!("/v1/health/{service}")).await?;
    if json {
        print_json(&report);
    } else {
        print_health(&report);
    }
    Ok(())
}

/// Prints the backend servers of a service repeatedly; 0 rounds mean no limit.
pub async fn top(api: &Api, service: &str, rounds: u32, every_ms: u64) -> Result<(), CtlError> {
    let mut round = 0;
    loop {
        let report: HealthReport = api.get(&format!("/v1/health/{service}")).await?;
        // Clears the terminal and moves the cursor to the top left.
        print!("\x1b[2J\x1b[H");
        print_health(&report);
        round += 1;
        if round == rounds {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(every_ms)).await;
    }
}

/// Prints the backend servers of a service as a table.
fn print_health(report: &HealthReport) {
    println!(
        "{}: {:.0} % of the weight in service (floor {:.0} %), {} waiting",
        report.service,
        report.capacity * 100.0,
        report.floor * 100.0,
        report.queued
    );
    println!(
        "{:<16}{:<10}{:>6}{:>8}{:>10}{:>8}{:>10}{:>8}  WHY",
        "BACKEND", "STANDING", "BUSY", "OTHERS", "SLOW(ms)", "SCORE", "GOOD", "BAD"
    );
    for backend in &report.backends {
        println!(
            "{:<16}{:<10}{:>6}{:>8}{:>10.1}{:>8.1}{:>10}{:>8}  {}",
            backend.backend,
            backend.standing,
            backend.in_flight,
            backend.others_in_flight,
            backend.slow_ms,
            backend.own_score.max(backend.agreed_score.unwrap_or(0.0)),
            backend.good,
            backend.bad,
            reason(backend)
        );
    }
}

/// Returns a short explanation why a backend server gets requests or not.
fn reason(backend: &BackendReport) -> String {
    if backend.is_leaving {
        return "its row is marked as leaving".to_owned();
    }
    if backend.is_draining {
        return "it announces that it is draining".to_owned();
    }
    let limit = backend.eject_score;
    match (backend.standing.as_str(), backend.trial_in_ms) {
        ("ejected", Some(trial_in_ms)) => {
            format!("{} (limit {limit}); next trial in {trial_in_ms} ms", backend.reason)
        }
        ("trial", _) => "gets single repeatable requests until three succeed".to_owned(),
        ("ramping", _) => "its share is ramping up".to_owned(),
        _ if backend.own_score > 0.0 => {
            format!("its score reduces its share (ejected at a score of {limit})")
        }
        _ => String::new(),
    }
}
