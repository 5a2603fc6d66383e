//! Writes the committed code of the peers' protocol from its definition.

use std::path::Path;

/// Generates the messages and the service into the peer crate's sources.
fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let files = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(root.join("crates/leverstream-peer/src/generated"))
        .compile_fds(files)?;
    Ok(())
}
