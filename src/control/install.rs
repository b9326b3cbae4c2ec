//! Installs every decided document in every cell, so that interrupted installations are completed.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::cell::request::{LeaderRequest, Reply};
use crate::cell::state::Command;
use crate::client::CellClient;
use crate::document::Document;
use crate::settings::Deployment;
use crate::transport::Endpoint;

use super::ControlInput;

/// Interval between two searches for cells that lack the latest document.
const INSTALL_INTERVAL: Duration = Duration::from_millis(500);
const INSTALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Installs the latest decided document in all cells while this host leads the first region's cell.
pub async fn run(endpoint: Endpoint, deployment: Deployment, tx: mpsc::Sender<ControlInput>) {
    let clients = CellClient::all(&endpoint, &deployment);
    let Some(first_cell) = clients.first().map(|c| c.cell().to_string()) else {
        return;
    };
    let mut installed_numbers: BTreeMap<String, u64> = BTreeMap::new();
    loop {
        tokio::time::sleep(INSTALL_INTERVAL).await;
        let (reply_tx, rx) = oneshot::channel();
        if tx
            .send(ControlInput::NewestDocument(first_cell.clone(), reply_tx))
            .await
            .is_err()
        {
            return;
        }
        let Ok(Some(newest)) = rx.await else {
            installed_numbers.clear();
            continue;
        };
        for client in &clients {
            let installed = installed_numbers.get(client.cell()).copied().unwrap_or(0);
            if installed < newest.number && install(client, &newest).await {
                installed_numbers.insert(client.cell().to_string(), newest.number);
            }
        }
    }
}

/// Installs a document in one cell and reports whether the cell confirmed it.
pub async fn install(client: &CellClient, document: &Document) -> bool {
    let request = LeaderRequest::Apply(Command::Install(document.clone()));
    matches!(
        client.ask(request, INSTALL_TIMEOUT).await,
        Ok(Reply::Applied(_))
    )
}
