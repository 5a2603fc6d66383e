//! Measures the memory per backend server row, the cost of edits and the placement of services on VMs.

use std::net::{Ipv4Addr, SocketAddr};

use leverstream_node::TableReplica;
use leverstream_proxy::Members;
use leverstream_table::{Address, BackendRow, ServiceDoc, ServiceRow};

use super::members::{member, swim};
use super::{
    AllocatedBytes, DAY_S, TARGET, UPDATES_PER_RESTART, measure_allocation, print_row, time_us,
};

/// Returns a service document with `backends` backend servers.
fn doc(number: usize, backends: usize, version: u64) -> ServiceDoc {
    let mut doc = ServiceDoc::empty(&format!("service-{number}"));
    (doc.version, doc.removed) = (version, false);
    doc.row = ServiceRow { taken_over: true, ..ServiceRow::default() };
    for backend in 0..backends {
        let ip = Ipv4Addr::from(0x0b00_0000 + (number * 64 + backend) as u32);
        let row = BackendRow {
            address: Address(SocketAddr::from((ip, 8080))),
            hall: format!("hall-{}", backend % 11),
            weight: 100,
            slots: 2,
            share_percent: 100,
            connections: 400,
            leaving: false,
        };
        doc.backends.insert(format!("backend-{backend}"), row);
    }
    doc
}

/// Returns the service documents of a table of the target size.
fn whole_table() -> Vec<ServiceDoc> {
    let backends_per_service = TARGET.backends / TARGET.services;
    (0..TARGET.services).map(|number| doc(number, backends_per_service, 1)).collect()
}

/// Measures the memory per backend server row, and the bytes and CPU time per edit.
pub(super) fn measure_table(allocated: AllocatedBytes) {
    let docs = whole_table();
    let json_bytes: usize = docs.iter().map(|doc| doc.to_json().len()).sum();
    let ((mut replica, docs), bytes) = measure_allocation(allocated, move || {
        let mut replica = TableReplica::new();
        for doc in &docs {
            replica.merge(doc.clone());
        }
        (replica, docs)
    });
    print_row(
        "state per backend server row, whole table in memory",
        &format!("{:.0} B", bytes / TARGET.backends as f64),
        &format!("{:.1} MB ({:.1} MB as JSON)", bytes / 1e6, json_bytes as f64 / 1e6),
    );
    let doc_bytes = json_bytes as f64 / TARGET.services as f64;
    let edits_per_s = TARGET.edits_per_day / DAY_S;
    let json = docs[0].to_json();
    let parse_us = time_us(200, || {
        let _ = ServiceDoc::from_json(&json);
    });
    let mut version = 1;
    let merge_us = time_us(200, || {
        version += 1;
        let mut doc = docs[0].clone();
        doc.version = version;
        replica.merge(doc);
    });
    print_row(
        "an edit: document size, time to parse, time to apply",
        &format!("{doc_bytes:.0} B, {parse_us:.0} us, {merge_us:.0} us"),
        &format!(
            "{edits_per_s:.2} edits/s: {:.2} kB/s, {:.3} % of a core",
            edits_per_s * doc_bytes / 1e3,
            edits_per_s * (parse_us + merge_us) / 1e4
        ),
    );
    let hall_watchers = 2 * TARGET.halls;
    print_row(
        "calls to the platform: 2 watchers per hall",
        "1 watch per 20 s and 1 per change, 1 VM list per second",
        &format!(
            "{:.1} calls/s, plus {:.1} for edits",
            hall_watchers as f64 * (1.0 / 20.0 + 1.0 + edits_per_s),
            2.0 * edits_per_s
        ),
    );
    let routes_per_service = TARGET.routes as f64 / TARGET.services as f64;
    print_row(
        "routes in a service row",
        &format!("{routes_per_service:.0} per service; 256 allowed"),
        &format!("{:.1} MB at 40 B per route", TARGET.routes as f64 * 40.0 / 1e6),
    );
}

/// Measures the time to recompute the entry sets of all services after a membership change.
pub(super) fn measure_placement() {
    let docs = whole_table();
    for nodes in [44, 700, TARGET.nodes] {
        let swim = swim(0, nodes, TARGET.halls);
        let members = Members::new(swim.remembered().cloned().collect());
        let compute_us = time_us(20, || {
            std::hint::black_box(members.entry_vms_of(&docs[7]));
        });
        let (placement, entry) = members.placement_of(&docs[7]);
        let newcomer = member(nodes + 1, TARGET.halls);
        let check_us = time_us(20_000, || {
            std::hint::black_box(placement.is_affected_by(&newcomer));
        });
        let moved = TARGET.services as f64 * entry.len() as f64 / nodes as f64;
        let change_ms = (check_us * TARGET.services as f64 + moved * compute_us) / 1e3;
        let changes = TARGET.restarts_per_day * UPDATES_PER_RESTART / DAY_S;
        print_row(
            &format!("entry set of a service: recomputed, found unaffected; {nodes} nodes"),
            &format!("{compute_us:.0} us, {check_us:.2} us"),
            &format!(
                "{change_ms:.1} ms per membership change ({moved:.0} services move); {:.2} % of a core",
                change_ms * changes / 10.0
            ),
        );
    }
}
