//! Brings every decided document to every cell, so that a half-installed one is completed.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use crate::cell::ask::{Ask, Reply};
use crate::cell::state::Command;
use crate::client::CellClient;
use crate::document::Document;
use crate::settings::Deployment;
use crate::transport::Endpoint;

use super::Input;

/// Between two looks for a document that some cell lacks.
const LOOK_EVERY: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_millis(2_000);

/// Looks for the newest document while this host leads the first region's cell, and installs it.
pub async fn run(endpoint: Endpoint, deployment: Deployment, tx: mpsc::Sender<Input>) {
    let clients = CellClient::all(&endpoint, &deployment);
    let Some(first) = clients.first().map(|c| c.cell().to_string()) else {
        return;
    };
    let mut installed: BTreeMap<String, u64> = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let (answer, rx) = oneshot::channel();
        if tx.send(Input::Newest(first.clone(), answer)).await.is_err() {
            return;
        }
        let Ok(Some(newest)) = rx.await else {
            installed.clear();
            continue;
        };
        for client in &clients {
            let has = installed.get(client.cell()).copied().unwrap_or(0);
            if has < newest.number && install(client, &newest).await {
                installed.insert(client.cell().to_string(), newest.number);
            }
        }
    }
}

/// Installs a document in one cell and tells whether that is known to have worked.
pub async fn install(client: &CellClient, document: &Document) -> bool {
    let ask = Ask::Apply(Command::Install(document.clone()));
    matches!(client.ask(ask, PATIENCE).await, Ok(Reply::Applied(_)))
}
