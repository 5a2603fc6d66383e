use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// An IP address and port in the text form of the table, such as `10.0.0.7:8080`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Address(pub SocketAddr);

impl Address {
    /// Returns whether it can be connected to: the port is not 0 and the IP address denotes a single machine.
    pub fn is_usable(self) -> bool {
        let ip: IpAddr = self.0.ip();
        self.0.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
    }
}

impl TryFrom<String> for Address {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        SocketAddr::from_str(&text)
            .map(Address)
            .map_err(|_| format!("`{text}` is not an IP address with a port"))
    }
}

impl From<Address> for String {
    fn from(address: Address) -> String {
        address.0.to_string()
    }
}

impl std::fmt::Display for Address {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}
