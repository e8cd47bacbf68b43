//! Access to the platform's table and host list.

use std::rc::Rc;
use std::time::Duration;

use ebonytack_core::{
    CallId, Change, Event, RawDeclaration, TableRequest, TableResponse, difference,
};
use ebonytack_platform::{HostEntry, HttpPlatform, MemoryPlatform, Platform};

use super::Shell;
use crate::settings::PlatformSettings;

const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// The platform, over HTTP or inside this process.
#[derive(Clone)]
pub(crate) enum PlatformLink {
    /// The client of a platform's HTTP interface.
    Http(Rc<HttpPlatform>),
    /// A platform inside this process.
    Embedded(Rc<MemoryPlatform>),
}

impl PlatformLink {
    /// Creates the link to the platform of the settings. For an embedded platform, the declaration
    /// in the settings is committed as revision 1.
    pub(crate) async fn open(settings: &PlatformSettings) -> Self {
        match settings {
            PlatformSettings::Http(address) => Self::Http(Rc::new(HttpPlatform::new(*address))),
            PlatformSettings::Embedded(declaration) => {
                let platform = MemoryPlatform::default();
                match first_change(declaration) {
                    Ok(change) => {
                        platform.execute(change).await;
                    }
                    Err(error) => log::error!("start: cannot apply the declaration: {error}."),
                }
                Self::Embedded(Rc::new(platform))
            }
        }
    }

    /// Sends a request to the platform's table and feeds the response to the reducer.
    pub(crate) fn request_table(&self, shell: Rc<Shell>, call: CallId, request: TableRequest) {
        let link = self.clone();
        actix_rt::spawn(async move {
            let answer = link.execute(request).await;
            shell.feed(Event::Table { call, answer });
        });
    }

    /// Registers this host and feeds the host list to the reducer every second. Never returns.
    pub(crate) async fn follow_hosts(self, shell: Rc<Shell>, entry: HostEntry) {
        loop {
            self.register(entry.clone()).await;
            if let Some(hosts) = self.list_hosts().await {
                let hosts = hosts.iter().map(HostEntry::peer).collect();
                shell.feed(Event::HostList { hosts });
            }
            actix_rt::time::sleep(HOST_LIST_INTERVAL).await;
        }
    }

    /// Adds or updates this host in the platform's host list. Returns whether that succeeded.
    pub(crate) async fn register(&self, entry: HostEntry) -> bool {
        match self {
            Self::Http(platform) => platform.register_host(entry).await,
            Self::Embedded(platform) => platform.register_host(entry).await,
        }
    }

    async fn execute(&self, request: TableRequest) -> TableResponse {
        match self {
            Self::Http(platform) => platform.execute(request).await,
            Self::Embedded(platform) => platform.execute(request).await,
        }
    }

    async fn list_hosts(&self) -> Option<Vec<HostEntry>> {
        match self {
            Self::Http(platform) => platform.list_hosts().await,
            Self::Embedded(platform) => platform.list_hosts().await,
        }
    }
}

/// Returns the request that commits a declaration to an empty table as revision 1.
fn first_change(declaration: &RawDeclaration) -> serde_json::Result<TableRequest> {
    let operations = difference(&RawDeclaration::default(), declaration);
    let before = operations.iter().map(|_| serde_json::Value::Null).collect();
    let change = Change {
        revision: 1,
        change_id: "embedded-declaration".to_owned(),
        author: "settings".to_owned(),
        made_at_unix_ms: 0,
        operations,
        before,
    };
    let value = Some(serde_json::to_string(&change)?);
    let row = "change/000000000001".to_owned();
    Ok(TableRequest::Commit { conditions: vec![(row.clone(), 0)], writes: vec![(row, value)] })
}
