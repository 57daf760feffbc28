//! JSON-RPC clients of the peers.

use std::collections::BTreeMap;
use std::error::Error as StdError;
use std::io;
use std::time::Duration;

use domain::{EntryVmId, ZoneId};
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use membership::ContactFailure;
use settings::EntryVm;

/// How long a call to a peer may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A peer that can be called.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) zone: ZoneId,
    pub(crate) rpc: HttpClient,
}

/// The peers that can be called.
#[derive(Debug, Clone, Default)]
pub(crate) struct Clients {
    by_id: BTreeMap<EntryVmId, Client>,
}

impl Clients {
    /// Clients of these entry VMs. No connection is made yet.
    pub(crate) fn new<'a>(
        peers: impl IntoIterator<Item = &'a EntryVm>,
    ) -> Result<Self, ClientError> {
        let mut by_id = BTreeMap::new();
        for peer in peers {
            let builder = HttpClientBuilder::default().request_timeout(CALL_TIMEOUT);
            let rpc = builder.build(format!("http://{}", peer.peers))?;
            let zone = peer.zone.clone();
            by_id.insert(peer.id.clone(), Client { zone, rpc });
        }
        Ok(Self { by_id })
    }

    pub(crate) fn get(&self, id: &EntryVmId) -> Option<&Client> {
        self.by_id.get(id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&EntryVmId, &Client)> {
        self.by_id.iter()
    }
}

/// Why a call to a peer gave no result.
pub(crate) fn no_contact(err: &ClientError) -> ContactFailure {
    let mut cause: Option<&(dyn StdError + 'static)> = Some(err);
    if let ClientError::Transport(source) = err {
        cause = Some(source.as_ref());
    }
    while let Some(err) = cause {
        let io = err.downcast_ref::<io::Error>();
        if io.is_some_and(|io| io.kind() == io::ErrorKind::ConnectionRefused) {
            return ContactFailure::ConnectionRefused;
        }
        cause = err.source();
    }
    ContactFailure::Unresponsive
}
